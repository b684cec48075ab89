package railupstream

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railexchange"
	"github.com/fulmarrail/fulmarrail/internal/request/railheader"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	controlTimeout   = 30 * time.Second
	cancelTimeout    = time.Second
	statusTimeout    = time.Second
	maxResponseBytes = 16 << 20
	eventStreamType  = "text/event-stream"
	requestIDHeader  = "X-Request-Id"
	priorityHeader   = "X-Priority"
	fenceHeader      = "X-Fence"
)

// errEndedWithEngine means that a body without a length ended together with its engine, so that it may not be complete.
var errEndedWithEngine = errors.New("the answer has ended together with its engine")

// Client is an HTTP client for one endpoint. It opens a connection for each call, since an endpoint may write a further response on a
// connection that is kept. Its exported fields must be set before its first use.
type Client struct {
	// Address is the endpoint's IP address and port.
	Address string
	// OnReport is called with what the endpoint says of itself in each response that is not broken, and with the incarnation of the engine, or an
	// empty string if the response does not state it. It may be nil.
	OnReport func(incarnation string, said railheader.SelfReport)
	// OnLimit is called with what each such response says of the number of requests that the endpoint takes, unless all that it names is malformed. It
	// may be nil.
	OnLimit func(railendpoint.LimitReport)
	// OnResume is called before each request that resumes a stream. It may be nil.
	OnResume func()

	// Intact reports whether weights with a digest are known to be intact. It is asked for responses that don't state their weights. It may be nil.
	Intact func(digest string) bool

	// incarnation is the engine's incarnation in its last reply to LoadedWeights.
	incarnation atomic.Value
}

// controlReply is the response to a control request.
type controlReply struct {
	sentAt time.Time
	header fasthttp.ResponseHeader
	// content is the body of a response with status 200.
	content []byte
}

// Run forwards a request to the endpoint and emits the frames of its answer. On error, the verdict tells whether the request may
// have run. It returns a railendpoint.EndedError if the endpoint's process has ended meanwhile.
func (c *Client) Run(ctx context.Context, req *railproto.ExecuteRequest, emit func(*railproto.Frame)) (railverdict.Verdict, error) {
	incarnation := c.knownIncarnation()
	verdict, err := c.forward(ctx, req, incarnation, emit)
	if err != nil && verdict == railverdict.MayHaveRun && ctx.Err() == nil && c.hasEnded(ctx, incarnation) {
		err = &railendpoint.EndedError{Incarnation: incarnation, Cause: err}
	}
	return verdict, err
}

// forward makes the exchange with the engine of the given incarnation, or with an unknown one.
func (c *Client) forward(ctx context.Context, req *railproto.ExecuteRequest, incarnation string, emit func(*railproto.Frame)) (railverdict.Verdict, error) {
	ctx, cancel := withTimeout(ctx)
	defer cancel()
	hreq := c.newRequest(fasthttp.MethodPost, req.GetPath(), req.GetBody())
	hreq.Header.SetContentType(req.GetContentType())
	hreq.Header.Set(requestIDHeader, req.GetRequestId())
	hreq.Header.Set(priorityHeader, strconv.Itoa(int(req.GetPriority())))
	if req.GetKey() != "" {
		hreq.Header.Set("Idempotency-Key", req.GetKey())
	}
	stop := context.AfterFunc(ctx, func() { c.cancelRequest(req.GetRequestId()) })
	defer stop()
	sentAt := time.Now()
	exchange, verdict, err := railexchange.Start(ctx, c.Address, hreq)
	if err != nil {
		return verdict, errors.Wrap(err, "call the endpoint")
	}
	defer exchange.Close()
	if exchange.Header.StatusCode() == fasthttp.StatusServiceUnavailable && req.GetIdempotent() {
		limit := time.AfterFunc(railexchange.RefusalTimeout, cancel)
		defer limit.Stop()
	}
	report := sync.OnceFunc(func() { c.report(&exchange.Header, railendpoint.LimitReport{SentAt: sentAt}) })
	return c.handleResponse(ctx, req, incarnation, exchange, report, emit)
}

// LoadedWeights returns the digest of the weights in service and the engine's incarnation.
func (c *Client) LoadedWeights(ctx context.Context) (digest, incarnation string, err error) {
	reply, err := c.exchangeControl(ctx, fasthttp.MethodGet, "/state", nil, 0)
	if err != nil {
		return "", "", err
	}
	var state struct {
		Digest      string `json:"digest"`
		Incarnation string `json:"incarnation"`
	}
	if err := json.Unmarshal(reply.content, &state); err != nil {
		return "", "", errors.Wrap(err, "decode the engine's state")
	}
	c.incarnation.Store(state.Incarnation)
	c.report(&reply.header, railendpoint.LimitReport{Incarnation: state.Incarnation, SentAt: reply.sentAt, Control: true})
	return state.Digest, state.Incarnation, nil
}

// LoadWeights makes the engine serve the weights of a manifest. It returns railendpoint.ErrStaleFence if the engine has seen a newer
// fencing token.
func (c *Client) LoadWeights(ctx context.Context, manifest []byte, fence int64) error {
	_, err := c.sendControl(ctx, fasthttp.MethodPost, "/load", manifest, fence)
	return err
}

// Chunks returns the digests of the chunks stored at the engine.
func (c *Client) Chunks(ctx context.Context) ([]string, error) {
	body, err := c.sendControl(ctx, fasthttp.MethodGet, "/chunks", nil, 0)
	if err != nil {
		return nil, err
	}
	return strings.Fields(string(body)), nil
}

// PutChunk stores a verified chunk at the engine.
func (c *Client) PutChunk(ctx context.Context, digest string, data []byte) error {
	_, err := c.sendControl(ctx, fasthttp.MethodPut, "/chunks/"+digest, data, 0)
	return err
}

// Chunk returns a chunk stored at the engine.
func (c *Client) Chunk(ctx context.Context, digest string) ([]byte, error) {
	return c.sendControl(ctx, fasthttp.MethodGet, "/chunks/"+digest, nil, 0)
}

// Keep lets the engine delete all chunks except the given ones.
func (c *Client) Keep(ctx context.Context, digests []string) error {
	_, err := c.sendControl(ctx, fasthttp.MethodPost, "/keep", []byte(strings.Join(digests, "\n")), 0)
	return err
}

// knownIncarnation returns the engine's incarnation as last read, or an empty string if it was not read yet.
func (c *Client) knownIncarnation() string {
	incarnation, _ := c.incarnation.Load().(string)
	return incarnation
}

// hasEnded reports whether the process that had the given incarnation has ended: its address refuses connections, or another
// incarnation has taken its place.
func (c *Client) hasEnded(ctx context.Context, incarnation string) bool {
	if railexchange.Refuses(ctx, c.Address) {
		return true
	}
	if incarnation == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	_, current, err := c.LoadedWeights(ctx)
	if err != nil {
		return railexchange.Refuses(ctx, c.Address)
	}
	return current != incarnation
}

// newRequest returns a request to the endpoint. The caller must release it, and keep the body unchanged until then.
func (c *Client) newRequest(method, path string, body []byte) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(method)
	req.Header.SetRequestURI(path) // The request's own URI would be sent normalized.
	req.Header.SetHost(c.Address)
	req.SetBodyRaw(body)
	req.SetConnectionClose()
	return req
}

// handleResponse emits the frames of a response. It calls report, which acts only once, as soon as the response is known not to be broken.
func (c *Client) handleResponse(
	ctx context.Context, req *railproto.ExecuteRequest, incarnation string, exchange *railexchange.Exchange, report func(), emit func(*railproto.Frame),
) (railverdict.Verdict, error) {
	status := exchange.Header.StatusCode()
	contentType := strings.ToValidUTF8(string(exchange.Header.ContentType()), "?") // Only valid text can be sent to an entry.
	if status == fasthttp.StatusOK && strings.HasPrefix(contentType, eventStreamType) {
		if err := c.forwardStream(ctx, req.GetRequestId(), exchange, reporting(report, emit)); err != nil {
			return railverdict.MayHaveRun, err
		}
		return railverdict.Ran, nil
	}
	// Status 503 proves that an idempotent request was not run. A service whose requests must not be repeated may have run a
	// request that it answers with an error.
	refused := status == fasthttp.StatusServiceUnavailable && req.GetIdempotent()
	body, err := exchange.ReadAll(maxResponseBytes, nil)
	if err == nil && !refused && exchange.EndsWithConnection() {
		err = c.checkNotCut(ctx, incarnation)
	}
	if err != nil {
		return railverdict.MayHaveRun, errors.Wrap(errors.CombineErrors(railendpoint.ErrTruncated, err), "read the answer")
	}
	report()
	if refused {
		return railverdict.NotRun, errors.New("the endpoint refused the request")
	}
	if incarnation != "" && status == fasthttp.StatusOK {
		if err := c.checkWeights(ctx); err != nil {
			return railverdict.MayHaveRun, err
		}
	}
	emit(&railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_DATA, Data: body})
	emit(&railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_END, Count: 1, Status: int32(status), ContentType: contentType})
	return railverdict.Ran, nil
}

// checkWeights returns an error unless the weights from which the engine has just answered are known to be intact. Only the events of a stream state
// them, so it asks the engine, which can't have loaded others in so short a time.
func (c *Client) checkWeights(ctx context.Context) error {
	if c.Intact == nil {
		return nil
	}
	digest, _, err := c.LoadedWeights(ctx)
	switch {
	case err != nil:
		return errors.Wrap(err, "read which weights have answered")
	case digest == "":
		return railendpoint.ErrMixedWeights
	case !c.Intact(digest):
		return errors.Wrapf(railendpoint.ErrUnknownWeights, "weights %s", digest)
	}
	return nil
}

// checkNotCut returns an error if a body that ended with its connection may have been cut off there: the engine has ended, or ctx was done before
// that was known.
func (c *Client) checkNotCut(ctx context.Context, incarnation string) error {
	if c.hasEnded(ctx, incarnation) {
		return errEndedWithEngine
	}
	return errors.Wrap(ctx.Err(), "look whether the engine has ended")
}

func (c *Client) cancelRequest(requestID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	// A lost cancellation only wastes work, since the engine ends the stream by itself.
	_, _ = c.sendControl(ctx, fasthttp.MethodPost, "/cancel/"+requestID, nil, 0)
}

// sendControl sends a control request and returns the body of the response.
func (c *Client) sendControl(ctx context.Context, method, path string, body []byte, fence int64) ([]byte, error) {
	reply, err := c.exchangeControl(ctx, method, path, body, fence)
	if reply == nil {
		return nil, err
	}
	c.report(&reply.header, railendpoint.LimitReport{SentAt: reply.sentAt, Control: true})
	return reply.content, err
}

// exchangeControl sends a control request. It returns nil and an error if there is no complete response, and both if the response does not have
// status 200.
func (c *Client) exchangeControl(ctx context.Context, method, path string, body []byte, fence int64) (*controlReply, error) {
	ctx, cancel := withTimeout(ctx)
	defer cancel()
	req := c.newRequest(method, path, body)
	req.Header.Set(fenceHeader, strconv.FormatInt(fence, 10))
	reply := &controlReply{sentAt: time.Now()}
	exchange, _, err := railexchange.Start(ctx, c.Address, req)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s", method, path)
	}
	defer exchange.Close()
	content, err := exchange.ReadAll(maxResponseBytes, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s", method, path)
	}
	exchange.Header.CopyTo(&reply.header)
	switch status := reply.header.StatusCode(); status {
	case fasthttp.StatusOK:
		reply.content = content
		return reply, nil
	case fasthttp.StatusPreconditionFailed:
		return reply, errors.Wrapf(railendpoint.ErrStaleFence, "%s %s", method, path)
	default:
		return reply, errors.Newf("%s %s: status %d: %s", method, path, status, content)
	}
}

// withTimeout limits a call whose context has no deadline to controlTimeout.
func withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, controlTimeout)
}
