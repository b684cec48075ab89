package railweights

import (
	"context"
	"strings"

	"github.com/fulmarrail/fulmarrail/internal/store/railobjects"
)

const (
	versionPrefix  = "version-"
	manifestPrefix = "manifest-"
	chunkPrefix    = "chunk-"
)

// Origin reads weights versions from an object store.
type Origin struct {
	Objects railobjects.Objects
}

// ResolveVersion returns the digest of the manifest that a version name currently refers to.
func (o Origin) ResolveVersion(ctx context.Context, version string) (string, error) {
	digest, err := o.Objects.Read(ctx, VersionObject(version))
	return strings.TrimSpace(string(digest)), err
}

// Manifest returns the content of the manifest with the given digest. It does not verify the content.
func (o Origin) Manifest(ctx context.Context, digest string) ([]byte, error) {
	return o.Objects.Read(ctx, ManifestObject(digest))
}

// Chunk returns the content of the chunk with the given digest. It does not verify the content.
func (o Origin) Chunk(ctx context.Context, digest string) ([]byte, error) {
	return o.Objects.Read(ctx, ChunkObject(digest))
}

// VersionObject returns the name of the object that holds the manifest digest of a version.
func VersionObject(version string) string { return versionPrefix + version }

// ManifestObject returns the name of the object that holds a manifest.
func ManifestObject(digest string) string { return manifestPrefix + digest }

// ChunkObject returns the name of the object that holds a chunk.
func ChunkObject(digest string) string { return chunkPrefix + digest }

// IsChunk reports whether an object holds a chunk.
func IsChunk(name string) bool { return strings.HasPrefix(name, chunkPrefix) }

// IsWeights reports whether an object belongs to a weights version.
func IsWeights(name string) bool {
	return strings.HasPrefix(name, versionPrefix) || strings.HasPrefix(name, manifestPrefix) || IsChunk(name)
}
