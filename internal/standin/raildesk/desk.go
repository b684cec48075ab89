package raildesk

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

// OrderService commits each order that reaches it; its fields are set before its first use.
type OrderService struct {
	// Delay is the time that an order takes.
	Delay time.Duration
	// OnCommit is called at the moment of each commit when set.
	OnCommit func(requestID, key string)

	mu     sync.Mutex
	ledger map[string]int
	lose   int
}

// Run commits an order and answers with the number of times that its key or request id has been committed.
func (d *OrderService) Run(ctx context.Context, req *railproto.ExecuteRequest, emit func(*railproto.Frame)) (railverdict.Verdict, error) {
	if !railtimer.Sleep(ctx, d.Delay) {
		return railverdict.MayHaveRun, ctx.Err()
	}
	count, lost := d.commit(req.GetRequestId(), req.GetKey())
	if lost {
		return railverdict.MayHaveRun, errors.New("the answer was lost")
	}
	emit(&railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_DATA, Data: answer(count)})
	emit(&railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_END, Count: 1, Status: fasthttp.StatusOK, ContentType: "application/json"})
	return railverdict.Ran, nil
}

// LoadedWeights returns no digest: a plain service has no weights.
func (d *OrderService) LoadedWeights(context.Context) (digest, incarnation string, err error) {
	return "", "desk", nil
}

// LoadWeights is refused: a plain service has no weights.
func (d *OrderService) LoadWeights(context.Context, []byte, int64) error { return errNoWeights }

// Chunks returns none.
func (d *OrderService) Chunks(context.Context) ([]string, error) { return nil, nil }

// PutChunk is refused: a plain service has no weights.
func (d *OrderService) PutChunk(context.Context, string, []byte) error { return errNoWeights }

// Chunk is refused: a plain service has no weights.
func (d *OrderService) Chunk(context.Context, string) ([]byte, error) { return nil, errNoWeights }

// Keep does nothing.
func (d *OrderService) Keep(context.Context, []string) error { return nil }

// DropResponses loses the answers of the next orders after their commit.
func (d *OrderService) DropResponses(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lose = n
}

// CommitCounts returns the number of commits by key, or by request id where an order has no key.
func (d *OrderService) CommitCounts() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.ledger)
}

// Handle serves the desk over HTTP; GET /ledger shows the ledger.
func (d *OrderService) Handle(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		ctx.SetContentType("application/json")
		fmt.Fprintf(ctx, "%d\n", len(d.CommitCounts()))
		return
	}
	time.Sleep(d.Delay)
	count, lost := d.commit(string(ctx.Request.Header.Peek("X-Request-Id")), string(ctx.Request.Header.Peek("Idempotency-Key")))
	if lost {
		_ = ctx.Conn().Close()
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(answer(count))
}

var errNoWeights = errors.New("a plain service has no weights")

func (d *OrderService) commit(requestID, key string) (count int, lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ledger == nil {
		d.ledger = map[string]int{}
	}
	entry := key
	if entry == "" {
		entry, _, _ = strings.Cut(requestID, railrequest.AttemptSeparator)
	}
	d.ledger[entry]++
	if d.OnCommit != nil {
		d.OnCommit(requestID, key)
	}
	if d.lose > 0 {
		d.lose--
		return d.ledger[entry], true
	}
	return d.ledger[entry], false
}

func answer(count int) []byte {
	return fmt.Appendf(nil, `{"committed":%d}`, count)
}
