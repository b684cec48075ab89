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
	maxChunks       = 1 << 20
	maxChunkBytes   = 3 << 20
	digestHexLength = 64
)

// Manifest lists the chunks of one version of weights.
type Manifest struct {
	Version string `json:"version"`
	// Size is the length of the weights in bytes, ChunkSize that of each chunk but the last.
	Size      int64 `json:"size"`
	ChunkSize int64 `json:"chunkSize"`
	// Chunks holds the hexadecimal digests of the chunks in order.
	Chunks []string `json:"chunks"`
	// Hash is the digest function of Chunks: empty for BLAKE3, or HashSHA256.
	Hash string `json:"hash,omitempty"`
}

// HashSHA256 names the digest function SHA-256.
const HashSHA256 = "sha256"

// New returns the manifest of the given weights in chunks of chunkSize bytes, with BLAKE3 digests.
func New(version string, weights []byte, chunkSize int64) Manifest {
	m := Manifest{Version: version, Size: int64(len(weights)), ChunkSize: chunkSize}
	for start := int64(0); start < m.Size; start += chunkSize {
		m.Chunks = append(m.Chunks, Sum(weights[start:min(start+chunkSize, m.Size)]))
	}
	return m
}

// Decode decodes the manifest with the given digest. It returns an error if the content's digest differs or the manifest is
// invalid.
func Decode(content []byte, digest string) (Manifest, error) {
	if got := Sum(content); got != digest {
		return Manifest{}, errors.Newf("manifest digest is %s, want %s", got, digest)
	}
	var m Manifest
	if err := json.Unmarshal(content, &m); err != nil {
		return Manifest{}, errors.Wrap(err, "decode the manifest")
	}
	return m, m.validate()
}

// Encode returns the JSON encoding of the manifest. Its digest identifies the manifest. It can't fail, since all fields of a manifest
// can be encoded.
func (m Manifest) Encode() []byte {
	content, err := json.Marshal(m)
	if err != nil {
		panic(errors.Wrap(err, "encode the manifest"))
	}
	return content
}

// Digest returns the digest that identifies the manifest.
func (m Manifest) Digest() string {
	return Sum(m.Encode())
}

// ChunkLength returns the length in bytes of the chunk with index i.
func (m Manifest) ChunkLength(i int) int64 {
	return min(m.ChunkSize, m.Size-int64(i)*m.ChunkSize)
}

// Verify reports whether data is the chunk with index i.
func (m Manifest) Verify(i int, data []byte) bool {
	return i >= 0 && i < len(m.Chunks) && m.chunkDigest(data) == m.Chunks[i]
}

// Index returns the index of the first chunk with a digest, or -1.
func (m Manifest) Index(digest string) int {
	return slices.Index(m.Chunks, digest)
}

// chunkDigest returns the digest of a chunk by the function that Hash names.
func (m Manifest) chunkDigest(data []byte) string {
	if m.Hash == HashSHA256 {
		sum := sha256.Sum256(data)
		return hex.EncodeToString(sum[:])
	}
	return Sum(data)
}

// Sum returns the BLAKE3 digest of content in hexadecimal.
func Sum(content []byte) string {
	sum := blake3.Sum256(content)
	return hex.EncodeToString(sum[:])
}

func (m Manifest) validate() error {
	switch {
	case m.Size <= 0 || m.ChunkSize <= 0 || m.ChunkSize > maxChunkBytes:
		return errors.Newf("manifest size %d or chunk size %d is out of range", m.Size, m.ChunkSize)
	case len(m.Chunks) > maxChunks || int64(len(m.Chunks)) != (m.Size+m.ChunkSize-1)/m.ChunkSize:
		return errors.Newf("manifest lists %d chunks for %d bytes", len(m.Chunks), m.Size)
	}
	for i, d := range m.Chunks {
		if len(d) != digestHexLength {
			return errors.Newf("digest of chunk %d has the wrong length", i)
		}
	}
	return nil
}
