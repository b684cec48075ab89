package railendpoint

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Endpoint is a model engine or a plain service; a plain one has no weights.
type Endpoint interface {
	// Run passes a request on and emits the data frames and the end frame of the whole answer; on an error the
	// verdict says whether the request may have run.
	Run(ctx context.Context, req *railproto.ExecuteRequest, emit func(*railproto.Frame)) (railverdict.Verdict, error)
	// Loaded returns the digest of the complete weights in service, or an empty string, and the engine's incarnation.
	LoadedWeights(ctx context.Context) (digest, incarnation string, err error)
	// Load orders the engine to serve the weights of a manifest whose chunks it holds.
	LoadWeights(ctx context.Context, manifest []byte, fence int64) error
	// Chunks returns the digests of the chunks that the engine holds.
	Chunks(ctx context.Context) ([]string, error)
	// PutChunk hands the engine one checked chunk.
	PutChunk(ctx context.Context, digest string, data []byte) error
	// Chunk returns a chunk that the engine holds.
	Chunk(ctx context.Context, digest string) ([]byte, error)
	// Keep lets the engine drop all chunks but the given ones.
	Keep(ctx context.Context, digests []string) error
}

var (
	// ErrMixedWeights means that the weights changed while an answer was made.
	ErrMixedWeights = errors.New("the weights changed during the answer")
	// ErrTruncated means that an answer ended before its definite last event.
	ErrTruncated = errors.New("the answer ended before its last event")
	// ErrStaleFence means that the engine has seen a newer fencing number.
	ErrStaleFence = errors.New("the order's fencing number is old")
)
