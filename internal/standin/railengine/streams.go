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
	// streamGrace is the time for which a stream goes on, or is kept after its end, with nobody reading it.
	streamGrace = 2 * time.Second
	// cutAfter is the number of events after which a stream is cut.
	cutAfter = 3
)

var errStreamCut = errors.New("the stream was cut")

// resume streams the rest of an answer from the event after the last one that the reader has.
func (e *Engine) resume(ctx *fasthttp.RequestCtx, requestID string) {
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

// writeStream writes a stream's events; work that nobody has read for a while is ended.
func (e *Engine) writeStream(ctx *fasthttp.RequestCtx, call *railcall.Call, from uint64) {
	ctx.SetContentType("text/event-stream")
	cut := e.takeCut()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		written := 0
		err := call.Follow(context.Background(), from, call.RequestID, func(f *railproto.Frame) error {
			if f.GetKind() == railproto.FrameKind_FRAME_KIND_ABORTED || cut && written == cutAfter {
				return errStreamCut
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

// BreakStreams cuts the connections of the next streams after a few events; the streams go on.
func (e *Engine) BreakStreams(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cuts = n
}

func (e *Engine) takeCut() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cuts == 0 {
		return false
	}
	e.cuts--
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

// endStream forgets a stream some time after its end.
func (e *Engine) endStream(call *railcall.Call) {
	time.AfterFunc(streamGrace, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streams[call.RequestID] == call {
			delete(e.streams, call.RequestID)
		}
	})
}

// firstFrame waits for a stream's first frame.
func (e *Engine) firstFrame(call *railcall.Call) *railproto.Frame {
	var first *railproto.Frame
	_ = call.Follow(context.Background(), 0, call.RequestID, func(f *railproto.Frame) error {
		first = f
		return errStreamCut
	})
	return first
}
