package railfront

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
	"github.com/fulmarrail/fulmarrail/internal/node/railconn"
	"github.com/fulmarrail/fulmarrail/internal/request/railrequest"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// The kinds of work in which a panic is contained.
const (
	unitRequest = "request"
	unitStream  = "stream"
	unitForward = "forward"
	unitRecord  = "record"
)

// errFailed is the reason that a caller gets. It does not say with what the entry has panicked.
var errFailed = errors.New("the entry has failed on this request")

// forwardContained is Forward. After a panic, the request may have run, unless its complete response has been passed on.
func (f *Front) forwardContained(ctx context.Context, req railrequest.Request, sink func(endpoint string, frame *railproto.Frame) error) (verdict railverdict.Verdict, frame *railproto.Frame, err error) {
	var end *railproto.Frame
	defer func() {
		switch p := railpanic.Recovered(recover(), f.Log, unitForward, "request", req.ID); {
		case p == nil:
		case end != nil:
			verdict, frame, err = railverdict.Ran, end, nil
		default:
			verdict, frame, err = railverdict.MayHaveRun, nil, errFailed
		}
	}()
	return f.Forward(ctx, req, func(endpoint string, frame *railproto.Frame) error {
		err := sink(endpoint, frame)
		if err == nil && frame.GetKind() == railproto.FrameKind_FRAME_KIND_END {
			end = frame
		}
		return err
	})
}

// observe calls Observe. A panic in it must not take the place of a response.
func (f *Front) observe(req railrequest.Request, verdict railverdict.Verdict, firstToken, betweenTokens time.Duration) {
	defer func() { _ = railpanic.Recovered(recover(), f.Log, unitRecord, "request", req.ID) }()
	f.Observe(req, verdict, firstToken, betweenTokens)
}

// rejectPanicked responds to a request whose work has panicked before its response began.
func rejectPanicked(ctx *fasthttp.RequestCtx, mayHaveRun bool) {
	ctx.Response.Reset()
	if mayHaveRun {
		reject(ctx, fasthttp.StatusBadGateway, railverdict.MayHaveRun, errFailed.Error())
		return
	}
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds)
	reject(ctx, fasthttp.StatusServiceUnavailable, railverdict.NotRun, errFailed.Error())
}

// abort resets the connection of a stream, whose part must not look complete.
func abort(conn net.Conn) {
	if c, ok := conn.(*railconn.Conn); ok {
		c.Abort()
	}
}
