package railgateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/node/railconn"
)

const (
	drainPollInterval = 20 * time.Millisecond
	// balancerRemovalDelay is the time after which the load balancer sends no new connections to an entry that is not ready. It
	// checks readiness once a second and acts on two equal results in a row.
	balancerRemovalDelay = 2500 * time.Millisecond
	// finalResponseTime is the time before the end of the drain at which all requests get their final response, so that it can still be
	// written. A process that is delayed may take up to finalResponseTimeout.
	finalResponseTime    = 500 * time.Millisecond
	finalResponseTimeout = 700 * time.Millisecond
	// finalResponseShare bounds finalResponseTime in a short drain, as a share of it.
	finalResponseShare = 0.1
	// minDrainShare is the share of a request's time that has to be left in the drain if the request is to be accepted.
	minDrainShare = 0.5
)

var errStopping = errors.New("the entry stops")

// drainState says whether the entry drains, and until when requests may run. Its methods are safe for concurrent use.
type drainState struct {
	draining atomic.Bool
	// startNanos and endNanos are the times at which the drain started and at which requests get their final response, in nanoseconds
	// since the Unix epoch.
	startNanos, endNanos atomic.Int64
	// ctx is canceled with errStopping when requests get their final response.
	ctx    context.Context
	cancel context.CancelCauseFunc
}

func (d *drainState) init() {
	d.ctx, d.cancel = context.WithCancelCause(context.Background())
}

// start starts the drain. It returns the time after which the requests that are left get their final response.
func (d *drainState) start(now time.Time, timeout time.Duration) time.Duration {
	untilEnd := timeout - min(finalResponseTime, railtimer.Scale(finalResponseShare, timeout))
	d.startNanos.Store(now.UnixNano())
	d.endNanos.Store(now.Add(untilEnd).UnixNano())
	d.draining.Store(true)
	return untilEnd
}

// limit returns the deadline, or the end of the drain if that is sooner.
func (d *drainState) limit(deadline time.Time) time.Time {
	if !d.draining.Load() {
		return deadline
	}
	if end := time.Unix(0, d.endNanos.Load()); end.Before(deadline) {
		return end
	}
	return deadline
}

// rejects reports whether a new request must be rejected: the load balancer sends none any more, and the drain is to end soon, or too little of the
// request's time is left in it.
func (d *drainState) rejects(requestTime time.Duration) bool {
	if !d.draining.Load() {
		return false
	}
	if time.Since(time.Unix(0, d.startNanos.Load())) > balancerRemovalDelay {
		return true
	}
	return time.Until(time.Unix(0, d.endNanos.Load())) < railtimer.Scale(minDrainShare, requestTime)
}

// drain fails the readiness check, closes connections as they become idle and waits until all of them have ended. Requests that are left
// shortly before the timeout get their final response then, also those that have not arrived in full.
// served is closed once the server accepts no further connections.
func (g *Gateway) drain(listener *railconn.Listener, served <-chan struct{}, timeout time.Duration) error {
	start := time.Now()
	defer g.logOpenConnections(listener, start)
	lastResponses := start.Add(g.drainState.start(start, timeout))
	noneOpen := func() bool { return listener.Open() == 0 }
	g.Log.Info("gateway draining, waiting for requests in flight", "running", listener.Answering(), "idle", listener.Drain())
	time.Sleep(min(balancerRemovalDelay, time.Until(lastResponses)))
	waitUntil(lastResponses, noneOpen)
	_ = listener.Close() // Connections that were accepted before this are served; later ones are refused by the kernel.
	select {
	case <-served: // The listener has counted all connections that were accepted.
	case <-time.After(time.Until(lastResponses)):
	}
	waitUntil(lastResponses, noneOpen)
	interrupted, incomplete := g.endRequests(listener)
	waitUntil(time.Now().Add(finalResponseTimeout), func() bool {
		incomplete += listener.EndReceiving()
		return noneOpen()
	})
	switch unwritten := listener.Answering(); {
	case unwritten > 0:
		return errors.Newf("drain timed out with %d requests in flight", unwritten)
	case interrupted > 0:
		return errors.Newf("drain timed out, %d requests got no response of an endpoint", interrupted)
	}
	g.Log.Info("gateway drained, no request was interrupted", "incomplete", incomplete)
	return nil
}

// endRequests makes all requests get their final response. It returns how many were running, and how many had not arrived in full.
func (g *Gateway) endRequests(listener *railconn.Listener) (running, incomplete int) {
	running = int(g.inFlight.Load())
	if running > 0 {
		g.Log.Info("gateway ends the requests that are left", "running", running)
	}
	g.drainState.cancel(errStopping)
	return running, listener.EndReceiving()
}

// waitUntil waits until a condition holds or the deadline passes.
func waitUntil(deadline time.Time, condition func() bool) {
	for !condition() && time.Until(deadline) > 0 {
		time.Sleep(drainPollInterval)
	}
}
