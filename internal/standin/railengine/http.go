package railengine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/request/railcall"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Handle serves the engine over HTTP. Paths below /knob/ inject faults.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	resource, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	body := append([]byte(nil), ctx.PostBody()...)
	defer e.writeSelfReport(ctx)
	switch {
	case resource == "state":
		e.writeState(ctx)
	case resource == "load":
		reply(ctx, nil, e.LoadWeights(context.Background(), body, parseFence(ctx)))
	case resource == "chunks" && ctx.IsPut():
		reply(ctx, nil, e.PutChunk(ctx, rest, body))
	case resource == "chunks" && rest == "":
		list, err := e.Chunks(ctx)
		reply(ctx, []byte(strings.Join(list, "\n")), err)
	case resource == "chunks":
		data, err := e.Chunk(ctx, rest)
		reply(ctx, data, err)
	case resource == "keep":
		reply(ctx, nil, e.Keep(ctx, strings.Fields(string(body))))
	case resource == "streams":
		e.resumeStream(ctx, rest)
	case resource == "cancel":
		e.Cancel(rest)
	case resource == "knob":
		reply(ctx, nil, e.turnKnob(rest, string(body)))
	case ctx.IsPost():
		e.generate(ctx, path, body)
	default:
		e.handleControl(ctx, resource, rest, body)
	}
}

// turnKnob injects a fault.
func (e *Engine) turnKnob(knob, value string) error {
	switch knob {
	case "cold":
		e.ResetWarmUp()
	case "cutStreams":
		n, err := strconv.Atoi(value)
		if err != nil {
			return err
		}
		e.BreakStreams(n)
	case "leaving":
		e.SetLeaving()
	case "limit":
		e.SetLimit(value)
	case "pause":
		d, err := time.ParseDuration(value)
		if err != nil {
			return err
		}
		e.Pause(d)
	default:
		return errors.Newf("unknown knob %q", knob)
	}
	return nil
}

// handleControl serves cache events, load reports, and control requests for adapters, the role and the KV cache.
func (e *Engine) handleControl(ctx *fasthttp.RequestCtx, resource, rest string, body []byte) {
	switch {
	case resource == "events":
		after, _ := strconv.ParseUint(rest, 10, 64)
		content, err := json.Marshal(e.CacheEvents(after))
		reply(ctx, content, err)
	case resource == "running":
		reply(ctx, strconv.AppendInt(nil, int64(e.ReportedLoad()), 10), nil)
	case resource == "adapters" && ctx.IsPut():
		reply(ctx, nil, e.LoadAdapter(rest, parseFence(ctx)))
	case resource == "role" && ctx.IsPut():
		reply(ctx, nil, e.SetRole(rest, parseFence(ctx)))
	case resource == "kv" && ctx.IsPut():
		reply(ctx, nil, e.ImportKV(rest, body))
	case resource == "kv":
		content, err := e.ExportKV(rest)
		reply(ctx, content, err)
	default:
		ctx.Error("unknown path", fasthttp.StatusNotFound)
	}
}

func (e *Engine) writeState(ctx *fasthttp.RequestCtx) {
	digest, incarnation, err := e.LoadedWeights(ctx)
	served, overloads, overLimit := e.Counts()
	body, _ := json.Marshal(map[string]any{
		"digest": digest, "incarnation": incarnation, "served": served, "overloads": overloads, "overLimit": overLimit,
	})
	reply(ctx, body, err)
}

// generate streams the response. It responds with status 503 if the request was rejected, and with status 500 if it failed before
// its first token.
func (e *Engine) generate(ctx *fasthttp.RequestCtx, path string, body []byte) {
	if e.rejectWhilePaused(ctx) {
		return
	}
	req := &railproto.ExecuteRequest{RequestId: string(ctx.Request.Header.Peek("X-Request-Id")), Path: path, Body: body, Priority: parsePriority(ctx)}
	runCtx, cancel := context.WithCancel(context.Background())
	call := &railcall.Call{RequestID: req.GetRequestId(), Cancel: cancel}
	e.addStream(call)
	go func() {
		defer cancel()
		if verdict, err := e.Run(runCtx, req, call.Append); err != nil {
			call.Append(&railproto.Frame{Kind: finalFrameKind(verdict), Detail: err.Error()})
		}
		e.expireStream(call)
	}()
	first := e.firstFrame(call)
	switch first.GetKind() {
	case railproto.FrameKind_FRAME_KIND_REFUSED:
		ctx.Error("not serving", fasthttp.StatusServiceUnavailable)
	case railproto.FrameKind_FRAME_KIND_ABORTED:
		ctx.Error(first.GetDetail(), fasthttp.StatusInternalServerError)
	default:
		e.writeStream(ctx, call, 0)
	}
}

// finalFrameKind returns the kind of the frame that ends a failed stream.
func finalFrameKind(verdict railverdict.Verdict) railproto.FrameKind {
	if verdict == railverdict.NotRun {
		return railproto.FrameKind_FRAME_KIND_REFUSED
	}
	return railproto.FrameKind_FRAME_KIND_ABORTED
}

// parseFence returns the fencing token of a control request, or 0, the lowest token, if there is no valid one.
func parseFence(ctx *fasthttp.RequestCtx) int64 {
	fence, err := strconv.ParseInt(string(ctx.Request.Header.Peek("X-Fence")), 10, 64)
	if err != nil {
		return 0
	}
	return fence
}

func parsePriority(ctx *fasthttp.RequestCtx) int32 {
	priority, err := strconv.ParseInt(string(ctx.Request.Header.Peek("X-Priority")), 10, 32)
	if err != nil {
		return 0
	}
	return int32(priority)
}

func writeEvent(w *bufio.Writer, f *railproto.Frame) error {
	var err error
	if f.GetKind() == railproto.FrameKind_FRAME_KIND_END {
		_, err = fmt.Fprintf(w, "event: done\ndata: {\"weights\":%q,\"count\":%d}\n\n", f.GetWeightsDigest(), f.GetCount())
	} else {
		_, err = fmt.Fprintf(w, "data: %s\n\n", f.GetData())
	}
	if err != nil {
		return err
	}
	return w.Flush()
}

func reply(ctx *fasthttp.RequestCtx, body []byte, err error) {
	switch {
	case err == nil:
		ctx.SetBody(body)
	case errors.Is(err, railendpoint.ErrStaleFence):
		ctx.Error(err.Error(), fasthttp.StatusPreconditionFailed)
	default:
		ctx.Error(err.Error(), fasthttp.StatusConflict)
	}
}
