package railgateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/node/railconn"
)

const (
	drainPollInterval = 20 * time.Millisecond
	// balancerRemovalDelay is the time after which the load balancer sends no new connections to an entry that is not ready. It
	// checks readiness once a second and acts on two equal results in a row.
	balancerRemovalDelay = 2500 * time.Millisecond
	// finalResponseTime is the time before the end of the drain at which all requests get their final response, so that it can still be
	// written.
	finalResponseTime = 200 * time.Millisecond
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
	untilEnd := max(timeout-finalResponseTime, timeout/2)
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

// rejects reports whether a new request must be rejected: the load balancer sends none any more, so that the process may stop at any moment, or
// too little of the request's time is left in the drain.
func (d *drainState) rejects(requestTime time.Duration) bool {
	if !d.draining.Load() {
		return false
	}
	if time.Since(time.Unix(0, d.startNanos.Load())) > balancerRemovalDelay {
		return true
	}
	return float64(time.Until(time.Unix(0, d.endNanos.Load()))) < minDrainShare*float64(requestTime)
}

// drain fails the readiness check, closes connections as they become idle and waits until all of them have ended. Requests that are left
// shortly before the timeout get their final response then, also those that have not arrived in full.
func (g *Gateway) drain(listener *railconn.Listener, timeout time.Duration) error {
	start := time.Now()
	defer g.logOpenConnections(listener, start)
	untilEnd := g.drainState.start(start, timeout)
	g.Log.Info("gateway draining, waiting for requests in flight", "running", listener.Answering(), "idle", listener.Drain())
	interrupted, incomplete, closed := 0, 0, false
	for time.Since(start) < timeout {
		ends := time.Since(start) > untilEnd
		if ends && g.drainState.ctx.Err() == nil {
			interrupted = int(g.inFlight.Load())
			g.drainState.cancel(errStopping)
		}
		if ends || time.Since(start) > balancerRemovalDelay && listener.Open() == 0 {
			if closed && listener.Open() == 0 {
				break
			}
			closed = true
			_ = listener.Close() // Connections that were accepted before this are served; later ones are refused by the kernel.
		}
		if ends {
			incomplete = max(incomplete, listener.EndReceiving())
		}
		time.Sleep(drainPollInterval)
	}
	if unwritten := listener.Answering(); unwritten > 0 {
		return errors.Newf("drain timed out with %d requests in flight", unwritten)
	}
	if interrupted > 0 {
		return errors.Newf("drain timed out, %d requests got no response of an endpoint", interrupted)
	}
	g.Log.Info("gateway drained, no request was interrupted", "incomplete", incomplete)
	return nil
}
