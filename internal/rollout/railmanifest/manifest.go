package railmanifest

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/zeebo/blake3"
)

const (
	maxChunks     = 1 << 20
	maxChunkBytes = 3 << 20
	digestLength  = 64
)

// Manifest lists the chunks of one version of weights.
type Manifest struct {
	Version   string   `json:"version"`
	Size      int64    `json:"size"`
	ChunkSize int64    `json:"chunkSize"`
	Chunks    []string `json:"chunks"`
	// Hash is the chunks' digest function: empty for BLAKE3, or HashSHA256.
	Hash string `json:"hash,omitempty"`
}

// HashSHA256 names the digest function SHA-256.
const HashSHA256 = "sha256"

// New returns the manifest of the given weights.
func New(version string, weights []byte, chunkSize int64) Manifest {
	m := Manifest{Version: version, Size: int64(len(weights)), ChunkSize: chunkSize}
	for start := int64(0); start < m.Size; start += chunkSize {
		m.Chunks = append(m.Chunks, Sum(weights[start:min(start+chunkSize, m.Size)]))
	}
	return m
}

// Decode returns the manifest with the given digest, or an error for content that is not it.
func Decode(content []byte, digest string) (Manifest, error) {
	if got := Sum(content); got != digest {
		return Manifest{}, errors.Newf("the manifest's digest is %s, not %s", got, digest)
	}
	var m Manifest
	if err := json.Unmarshal(content, &m); err != nil {
		return Manifest{}, errors.Wrap(err, "decode the manifest")
	}
	return m, m.check()
}

// Encode returns the manifest's content, whose digest identifies it.
func (m Manifest) Encode() []byte {
	content, err := json.Marshal(m)
	if err != nil {
		panic(errors.Wrap(err, "a manifest holds only values that can be encoded"))
	}
	return content
}

// Digest returns the digest that identifies the manifest.
func (m Manifest) Digest() string {
	return Sum(m.Encode())
}

// ChunkLength returns the length of a chunk in bytes.
func (m Manifest) ChunkLength(i int) int64 {
	return min(m.ChunkSize, m.Size-int64(i)*m.ChunkSize)
}

// Verify reports whether the data is the given chunk.
func (m Manifest) Verify(i int, data []byte) bool {
	return i >= 0 && i < len(m.Chunks) && m.sum(data) == m.Chunks[i]
}

// Index returns the place of the chunk with a digest, or -1.
func (m Manifest) Index(digest string) int {
	return slices.Index(m.Chunks, digest)
}

func (m Manifest) sum(data []byte) string {
	if m.Hash == HashSHA256 {
		sum := sha256.Sum256(data)
		return hex.EncodeToString(sum[:])
	}
	return Sum(data)
}

// Sum returns the digest of a content.
func Sum(content []byte) string {
	sum := blake3.Sum256(content)
	return hex.EncodeToString(sum[:])
}

func (m Manifest) check() error {
	switch {
	case m.Size <= 0 || m.ChunkSize <= 0 || m.ChunkSize > maxChunkBytes:
		return errors.Newf("the manifest's size %d or chunk size %d is out of range", m.Size, m.ChunkSize)
	case len(m.Chunks) > maxChunks || int64(len(m.Chunks)) != (m.Size+m.ChunkSize-1)/m.ChunkSize:
		return errors.Newf("the manifest lists %d chunks for %d bytes", len(m.Chunks), m.Size)
	}
	for i, d := range m.Chunks {
		if len(d) != digestLength {
			return errors.Newf("the digest of chunk %d is malformed", i)
		}
	}
	return nil
}
