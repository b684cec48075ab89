package railengine

import (
	"bufio"
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/request/railcall"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// streamGrace is the time that a stream continues without a reader, and that it is retained after its end.
	streamGrace = 2 * time.Second
	// eventsBeforeBreak is the number of events after which a stream's connection is broken.
	eventsBeforeBreak = 3
)

var errStreamBroken = errors.New("the stream was interrupted")

// resumeStream streams the rest of a response, after the events that the reader already has. The Last-Event-ID header gives their
// number.
func (e *Engine) resumeStream(ctx *fasthttp.RequestCtx, requestID string) {
	from, err := strconv.ParseUint(string(ctx.Request.Header.Peek("Last-Event-ID")), 10, 64)
	if err != nil {
		ctx.Error("Last-Event-ID must be a whole number", fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	call := e.streams[requestID]
	e.mu.Unlock()
	if call == nil {
		ctx.Error("unknown stream", fasthttp.StatusNotFound)
		return
	}
	ctx.Response.Header.Set("X-First-Event", strconv.FormatUint(from, 10))
	e.writeStream(ctx, call, from)
}

// writeStream writes a stream's events. If writing fails, the request is canceled unless a reader resumes the stream within
// streamGrace.
func (e *Engine) writeStream(ctx *fasthttp.RequestCtx, call *railcall.Call, from uint64) {
	ctx.SetContentType("text/event-stream")
	breakStream := e.takeStreamBreak()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		written := 0
		err := call.Follow(context.Background(), from, call.RequestID, func(f *railproto.Frame) error {
			if f.GetKind() == railproto.FrameKind_FRAME_KIND_ABORTED || breakStream && written == eventsBeforeBreak {
				return errStreamBroken
			}
			written++
			return writeEvent(w, f)
		})
		if err == nil {
			return
		}
		time.AfterFunc(streamGrace, func() {
			if call.DetachedFor(time.Now()) >= streamGrace {
				call.Cancel()
			}
		})
	})
}

// BreakStreams breaks the connections of the next n streams after eventsBeforeBreak events. The streams themselves continue.
func (e *Engine) BreakStreams(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streamsToBreak = n
}

// takeStreamBreak reports whether the next stream's connection is to be broken, and counts it.
func (e *Engine) takeStreamBreak() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streamsToBreak == 0 {
		return false
	}
	e.streamsToBreak--
	return true
}

func (e *Engine) addStream(call *railcall.Call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams == nil {
		e.streams = map[string]*railcall.Call{}
	}
	e.streams[call.RequestID] = call
}

// expireStream removes a completed stream after streamGrace.
func (e *Engine) expireStream(call *railcall.Call) {
	time.AfterFunc(streamGrace, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streams[call.RequestID] == call {
			delete(e.streams, call.RequestID)
		}
	})
}

// firstFrame waits for a stream's first frame and returns it.
func (e *Engine) firstFrame(call *railcall.Call) *railproto.Frame {
	var first *railproto.Frame
	_ = call.Follow(context.Background(), 0, call.RequestID, func(f *railproto.Frame) error {
		first = f
		return errStreamBroken
	})
	return first
}
