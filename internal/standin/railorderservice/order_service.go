package railorderservice

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/request/railrequest"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// OrderService commits each order that it receives. Its exported fields must be set before its first use.
type OrderService struct {
	// Delay is the processing time of an order.
	Delay time.Duration
	// OnCommit is called during each commit. It may be nil.
	OnCommit func(requestID, key string)

	mu              sync.Mutex
	commits         map[string]int
	responsesToDrop int
}

// Run commits an order and responds with the number of commits of its idempotency key or request ID so far.
func (s *OrderService) Run(ctx context.Context, req *railproto.ExecuteRequest, emit func(*railproto.Frame)) (railverdict.Verdict, error) {
	if !railtimer.Sleep(ctx, s.Delay) {
		return railverdict.MayHaveRun, ctx.Err()
	}
	count, lost := s.commit(req.GetRequestId(), req.GetKey())
	if lost {
		return railverdict.MayHaveRun, errors.New("the response was lost")
	}
	emit(&railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_DATA, Data: responseBody(count)})
	emit(&railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_END, Count: 1, Status: fasthttp.StatusOK, ContentType: "application/json"})
	return railverdict.Ran, nil
}

// LoadedWeights returns an empty digest, since a plain service has no weights.
func (s *OrderService) LoadedWeights(context.Context) (digest, incarnation string, err error) {
	return "", "desk", nil
}

// LoadWeights returns an error, since a plain service has no weights.
func (s *OrderService) LoadWeights(context.Context, []byte, int64) error { return errNoWeights }

// Chunks returns no digests.
func (s *OrderService) Chunks(context.Context) ([]string, error) { return nil, nil }

// PutChunk returns an error, since a plain service has no weights.
func (s *OrderService) PutChunk(context.Context, string, []byte) error { return errNoWeights }

// Chunk returns an error, since a plain service has no weights.
func (s *OrderService) Chunk(context.Context, string) ([]byte, error) { return nil, errNoWeights }

// Keep does nothing.
func (s *OrderService) Keep(context.Context, []string) error { return nil }

// DropResponses drops the responses to the next n orders after their commit.
func (s *OrderService) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToDrop = n
}

// CommitCounts returns the number of commits by idempotency key, or by request ID for orders without a key.
func (s *OrderService) CommitCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.commits)
}

// Handle serves the order service over HTTP. A POST request commits an order; any other request returns the number of distinct
// orders committed.
func (s *OrderService) Handle(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		ctx.SetContentType("application/json")
		fmt.Fprintf(ctx, "%d\n", len(s.CommitCounts()))
		return
	}
	time.Sleep(s.Delay)
	count, lost := s.commit(string(ctx.Request.Header.Peek("X-Request-Id")), string(ctx.Request.Header.Peek("Idempotency-Key")))
	if lost {
		_ = ctx.Conn().Close()
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(responseBody(count))
}

var errNoWeights = errors.New("a plain service has no weights")

func (s *OrderService) commit(requestID, key string) (count int, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.commits == nil {
		s.commits = map[string]int{}
	}
	id := key
	if id == "" {
		id, _, _ = strings.Cut(requestID, railrequest.AttemptSeparator)
	}
	s.commits[id]++
	if s.OnCommit != nil {
		s.OnCommit(requestID, key)
	}
	if s.responsesToDrop > 0 {
		s.responsesToDrop--
		return s.commits[id], true
	}
	return s.commits[id], false
}

func responseBody(count int) []byte {
	return fmt.Appendf(nil, `{"committed":%d}`, count)
}
