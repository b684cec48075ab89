package railentry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/node/railconn"
)

const (
	drainPollInterval = 20 * time.Millisecond
	// lastResponsesTime is the part at the end of the drain for the responses to requests that are still running then, but at most
	// lastResponsesShare of the drain. Telling an agent that a call is canceled takes up to one second of it.
	lastResponsesTime  = 2 * time.Second
	lastResponsesShare = 0.1
	// closeTime is the time for which callers' connections may take to end once they are closed for sending.
	closeTime = time.Second
)

// handle serves one HTTP request. During a drain, its response announces the end of its connection, also if the request came before.
func (e *Entry) handle(ctx *fasthttp.RequestCtx) {
	if conn, ok := ctx.Conn().(*railconn.Conn); ok {
		conn.MarkAnswering()
	}
	railconn.RespondAtOnce(ctx)
	e.front.Handle(ctx)
	if e.router.Stopping() {
		ctx.SetConnectionClose()
	}
}

// rejectUnreadable responds to a request that could not be read.
func (e *Entry) rejectUnreadable(ctx *fasthttp.RequestCtx, err error) {
	status, reason := railconn.UnreadableStatus(ctx.Conn(), err, e.router.Stopping())
	e.front.RejectUnreadable(ctx, status, reason)
}

// drain fails the readiness check, rejects new requests, closes connections as they become idle and waits until all responses have been
// written. Shortly before the timeout it interrupts the requests that are still running or have not arrived in full, whose responses say so.
// served is closed once the server accepts no further connections.
func (e *Entry) drain(ctx context.Context, served <-chan struct{}, callers *railconn.Listener, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	lastResponses := deadline.Add(-min(lastResponsesTime, railtimer.Scale(lastResponsesShare, timeout)))
	e.router.StopAccepting()
	e.Log.Info("entry draining, waiting for requests in flight", "running", callers.Answering(), "idle", callers.Drain())
	notBusy := func() bool { return callers.Busy() == 0 }
	interrupted, incomplete := 0, 0
	if !waitUntil(ctx, lastResponses, notBusy) {
		interrupted, incomplete = e.front.Running(), callers.EndReceiving()
	}
	// Without running requests, this affects only those that were accepted at the moment of the stop.
	e.front.Interrupt()
	unanswered := 0
	if !waitUntil(ctx, time.Now().Add(lastResponsesTime), notBusy) {
		unanswered = callers.Answering()
	} else if end := time.Now().Add(closeTime); end.After(deadline) {
		deadline = end
	}
	late, busy := closeCallers(ctx, served, callers, lastResponses, deadline)
	switch {
	case unanswered > 0:
		return errors.Newf("drain did not complete: %d requests have no response", unanswered)
	case interrupted > 0:
		return errors.Newf("%d requests were ended by the end of the drain", interrupted)
	case busy > 0:
		return errors.Newf("drain did not complete: %d requests have no response", busy)
	}
	e.Log.Info("entry drained, no request was interrupted", "incomplete", incomplete+late)
	return nil
}

// closeCallers closes the listener and waits for connections on which a request may still arrive. Those that have not arrived in full when it is
// time for the last responses are rejected. It returns the numbers of these and of the requests that have no response at the deadline.
// served is closed once the server accepts no further connections.
func closeCallers(ctx context.Context, served <-chan struct{}, callers *railconn.Listener, lastResponses, deadline time.Time) (incomplete, busy int) {
	noneOpen := func() bool { return callers.Open() == 0 }
	_ = callers.Close() // Connections that were accepted before this are served; later ones are refused by the kernel.
	select {
	case <-served: // The listener has counted all connections that were accepted.
	case <-time.After(time.Until(lastResponses)):
	}
	waitUntil(ctx, lastResponses, noneOpen)
	waitUntil(ctx, deadline, func() bool {
		incomplete += callers.EndReceiving()
		return noneOpen()
	})
	return incomplete, callers.Busy()
}

// waitUntil waits until a condition holds. It returns false if the deadline passes or ctx is done first.
func waitUntil(ctx context.Context, deadline time.Time, condition func() bool) bool {
	for !condition() {
		if time.Until(deadline) <= 0 || !railtimer.Sleep(ctx, drainPollInterval) {
			return false
		}
	}
	return true
}
