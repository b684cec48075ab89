package railgateway

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railexchange"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
)

var (
	errGap        = errors.New("the stream does not go on where it broke off")
	errCallerLeft = errors.New("the caller has left")
)

// progress is how far a stream has come.
type progress struct {
	lastID string
	tried  map[string]bool
}

// stream passes a stream on as it grows; where that is allowed it goes on at another endpoint when it breaks.
func (g *Gateway) stream(c *call, a *attempt) {
	copyHeader(c.ctx, a.exchange)
	c.ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer g.finish(c)
		err := g.pump(c, a, w)
		if err == nil {
			count(c, a.exchange.Header.StatusCode())
		}
		if err != nil {
			if !errors.Is(err, errCallerLeft) {
				g.observe(c, false)
			}
			metrics.GetOrCreateCounter(fmt.Sprintf(`fulmarrail_gateway_broken_streams_total{service=%q}`, c.service)).Inc()
			g.Log.Info("stream broken", "request", c.ID, "customer", c.customer.Name, "err", err, "after", time.Since(c.began))
			if c.conn != nil {
				c.conn.Abort()
			}
		}
	})
}

// pump returns nil once the whole stream has been passed on.
func (g *Gateway) pump(c *call, a *attempt, w *bufio.Writer) error {
	p := &progress{tried: map[string]bool{}}
	for {
		err := g.pass(c, a, w, p)
		if err == nil {
			a.close(railfleet.Answered)
			g.logAnswer(c, a)
			return nil
		}
		p.tried[a.lease.Instance.ID] = true
		a.close(blame(c, err))
		if c.work.Err() != nil || !c.route.Resumable || p.lastID == "" || !errors.Is(err, railexchange.ErrTruncated) {
			return err
		}
		g.Log.Info("stream is taken up elsewhere", "request", c.ID, "endpoint", a.lease.Instance.ID, "lastEvent", p.lastID, "err", err)
		next, _, beginErr := g.begin(c, p)
		if beginErr != nil {
			return errors.CombineErrors(beginErr, err)
		}
		if !next.streamed || !follows(p.lastID, next.first.ID) {
			next.close(railfleet.Failed)
			return errGap
		}
		a = next
	}
}

// pass passes the events of one attempt on and returns nil at the end of a whole answer.
func (g *Gateway) pass(c *call, a *attempt, w *bufio.Writer, p *progress) error {
	silence := time.AfterFunc(time.Until(c.deadline), a.cancel)
	defer silence.Stop()
	for e, last := a.first, time.Now(); ; {
		if _, err := w.Write(e.Raw); err != nil {
			return errors.Mark(errors.Wrap(err, "the caller has left"), errCallerLeft)
		}
		if err := w.Flush(); err != nil {
			return errors.Mark(errors.Wrap(err, "the caller has left"), errCallerLeft)
		}
		if e.ID != "" {
			p.lastID = e.ID
		}
		if c.route.Resumable {
			silence.Reset(min(streamSilence, time.Until(c.deadline)))
		}
		var err error
		e, err = a.events.Next()
		c.gap = max(c.gap, time.Since(last))
		last = time.Now()
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return errors.Mark(err, railexchange.ErrTruncated)
		}
	}
}

// follows reports whether an event's id is the one after another's.
func follows(last, next string) bool {
	a, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return false
	}
	b, err := strconv.ParseInt(next, 10, 64)
	return err == nil && b == a+1
}
