package railgateway

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railexchange"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
)

var (
	errEventGap           = errors.New("the stream does not go on where it broke off")
	errEndpointEnded      = errors.New("the response has no length, and its endpoint has ended")
	errCallerDisconnected = errors.New("the caller has left")
)

// stream relays a stream to the caller event by event. If the route allows it, a broken stream is resumed at another endpoint; else
// the caller's connection is reset.
func (g *Gateway) stream(c *call, a *attempt) {
	g.copyHeader(c.ctx, a.exchange)
	c.ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer g.finish(c)
		defer c.abortAtEnd()()
		defer func() {
			if p := railpanic.Recovered(recover(), g.Log, unitStream, "request", c.ID); p != nil {
				g.endPanickedStream(c, p)
			}
		}()
		err := g.relayStream(c, a, w)
		if err == nil {
			g.recordEnd(c, endAnswered)
			countRequest(c, a.exchange.Header.StatusCode())
			return
		}
		if errors.Is(err, errCallerDisconnected) {
			c.cancel(errCallerDisconnected)
		}
		g.recordBroken(c, err)
		c.abort()
	})
}

// recordBroken counts and logs a stream that nobody can complete.
func (g *Gateway) recordBroken(c *call, err error) {
	g.observe(c, false)
	metrics.GetOrCreateCounter(fmt.Sprintf(`fulmarrail_gateway_broken_streams_total{service=%q}`, c.service)).Inc()
	g.Log.Info("stream broken", "request", c.ID, "customer", c.customer.Name, "ended", g.recordEnd(c, endBroken), "cause", c.endCause(), "err", err, "after", time.Since(c.start))
}

// abort resets the caller's connection.
func (c *call) abort() {
	if c.conn != nil {
		c.conn.Abort()
	}
}

// relayStream relays a stream, resuming it at other endpoints where that is allowed. It returns nil once the complete stream has been
// relayed.
func (g *Gateway) relayStream(c *call, a *attempt, w *bufio.Writer) error {
	lastEventID := ""
	var watch *silenceWatch
	settled := false
	defer func() {
		if !settled {
			a.abandon(watch)
		}
	}()
	for {
		watch = g.watchSilence(c.workCtx, c, a, 0)
		err := g.relayEvents(c, a, w, watch, &lastEventID)
		if err == nil {
			a.close(railfleet.Answered)
			g.contain(c, func() { g.logResponse(c, a) })
			settled = true
			return nil
		}
		g.failStream(c, a, err)
		next, err := g.resume(c, watch, lastEventID, err)
		if err != nil {
			settled = true
			return err
		}
		a = next
	}
}

// failStream closes the attempt of a stream that broke off.
func (g *Gateway) failStream(c *call, a *attempt, err error) {
	if a.ctx.Err() == nil && errors.Is(err, railexchange.ErrTruncated) {
		a.checkEngine(c)
	}
	c.tries.fail(a.lease.Instance, railverdict.MayHaveRun)
	a.close(leaseOutcome(c, err))
}

// resume returns the attempt at which a stream goes on that broke off with an error: the one that has taken over already, or a new one.
func (g *Gateway) resume(c *call, watch *silenceWatch, lastEventID string, err error) (*attempt, error) {
	next := watch.failed()
	resumed := false
	defer func() { next.closeUnless(resumed) }()
	if next == nil {
		if c.workCtx.Err() != nil || !c.route.Resumable || lastEventID == "" || !errors.Is(err, railexchange.ErrTruncated) {
			return nil, err
		}
		found, resumeErr := g.dispatch(c.workCtx, c, lastEventID)
		if resumeErr != nil {
			return nil, errors.CombineErrors(resumeErr, err)
		}
		next = found
	}
	if !next.continues(lastEventID) {
		g.fail(c, next, railverdict.MayHaveRun, errEventGap)
		return nil, errEventGap
	}
	g.Log.Info("stream is taken up elsewhere", "request", c.ID, "endpoint", next.lease.Instance.ID, "lastEvent", lastEventID, "parts", c.SharedParts, "err", err)
	resumed = true
	return next, nil
}

// relayEvents relays the events of one attempt. It returns nil at the end of a complete response. lastEventID is set to the ID of the last
// event that was relayed.
func (g *Gateway) relayEvents(c *call, a *attempt, w *bufio.Writer, watch *silenceWatch, lastEventID *string) error {
	begun := time.Now()
	for e, lastEventAt := a.firstEvent, begun; ; {
		if _, err := w.Write(e.Raw); err != nil {
			return errors.Mark(errors.Wrap(err, "the caller has left"), errCallerDisconnected)
		}
		if err := w.Flush(); err != nil {
			return errors.Mark(errors.Wrap(err, "the caller has left"), errCallerDisconnected)
		}
		if e.ID != "" {
			*lastEventID = e.ID
		}
		if c.route.Resumable && *lastEventID != "" {
			watch.patience = streamIdleTimeout
		}
		var err error
		e, err = a.nextEvent(c, watch, *lastEventID)
		c.maxGap = max(c.maxGap, time.Since(lastEventAt))
		lastEventAt = time.Now()
		isEnd := errors.Is(err, io.EOF)
		if err != nil && !isEnd {
			return err
		}
		if isEnd || time.Since(begun) > successfulStreamTime {
			a.recordSuccess()
		}
		if isEnd {
			return nil
		}
	}
}

// nextEvent returns the next event, io.EOF at the end of a complete response, or an error if the response broke off or another attempt has taken
// over. The time that the caller takes to read an event does not count as the endpoint's silence.
func (a *attempt) nextEvent(c *call, watch *silenceWatch, lastEventID string) (railexchange.Event, error) {
	watch.wait(lastEventID)
	e, err := a.events.Next()
	if errors.Is(err, io.EOF) && a.endedWithEngine(c) {
		err = errEndpointEnded
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return e, errors.Mark(a.markCause(c, err), railexchange.ErrTruncated)
	}
	if watch.wentOn() != nil {
		return e, errors.Mark(errReplaced, railexchange.ErrTruncated)
	}
	return e, err
}

// continues reports whether an attempt goes on with the event that follows the one with the given ID.
func (a *attempt) continues(lastEventID string) bool {
	return a.isStream && isNextEventID(lastEventID, a.firstEvent.ID)
}

// isNextEventID reports whether next is the numeric event ID that directly follows last.
func isNextEventID(last, next string) bool {
	a, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return false
	}
	b, err := strconv.ParseInt(next, 10, 64)
	return err == nil && b == a+1
}
