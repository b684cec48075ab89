package railendpoint

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// LeavingHeader is the header of an endpoint's responses in which it says, with the value 1, that it is leaving.
	LeavingHeader = "Fulmarrail-Leaving"
	// LimitHeader is the header of an endpoint's responses in which it names the number of requests per second that it takes.
	LimitHeader = "Server-Limit"
)

// Endpoint is a model engine or a plain service. A plain service has no weights.
type Endpoint interface {
	// Run forwards a request to the endpoint and emits the data frames and the end frame of the complete answer. On error, the
	// verdict tells whether the request may have run. It returns an EndedError if the endpoint's process has ended meanwhile.
	Run(ctx context.Context, req *railproto.ExecuteRequest, emit func(*railproto.Frame)) (railverdict.Verdict, error)
	// LoadedWeights returns the digest of the complete weights in service, or an empty string, and the engine's incarnation.
	LoadedWeights(ctx context.Context) (digest, incarnation string, err error)
	// LoadWeights makes the engine serve the weights of a manifest whose chunks it holds. It returns ErrStaleFence if the engine
	// has seen a newer fencing token.
	LoadWeights(ctx context.Context, manifest []byte, fence int64) error
	// Chunks returns the digests of the chunks stored at the engine.
	Chunks(ctx context.Context) ([]string, error)
	// PutChunk stores a verified chunk at the engine.
	PutChunk(ctx context.Context, digest string, data []byte) error
	// Chunk returns a chunk stored at the engine.
	Chunk(ctx context.Context, digest string) ([]byte, error)
	// Keep lets the engine delete all chunks except the given ones.
	Keep(ctx context.Context, digests []string) error
}

var (
	// ErrMixedWeights means that the weights changed while the answer was generated.
	ErrMixedWeights = errors.New("the weights changed during the answer")
	// ErrUnknownWeights means that the answer comes from weights that are not known to be intact.
	ErrUnknownWeights = errors.New("the answer comes from weights that are not known to be intact")
	// ErrTruncated means that an answer ended before its final event.
	ErrTruncated = errors.New("the answer ended before its last event")
	// ErrStaleFence means that the engine has seen a newer fencing token.
	ErrStaleFence = errors.New("the order's fencing number is old")
)
