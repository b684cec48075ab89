package railupstream

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railexchange"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// maxResumes is the maximum number of attempts to resume a stream.
	maxResumes       = 3
	resumeDelay      = 20 * time.Millisecond
	lastEventHeader  = "Last-Event-ID"
	firstEventHeader = "X-First-Event"
)

// errUnknownStream means that the engine does not have the rest of a stream.
var errUnknownStream = errors.New("the engine does not know the stream")

// eventStream is the state of an answer in events, which may be read over several connections.
type eventStream struct {
	digest string
	count  uint64
	done   bool
}

// readEvents emits a data frame for each event. It returns nil if the answer is complete: it ends with the event "done" and the
// number of events matches.
func (s *eventStream) readEvents(body io.Reader, emit func(*railproto.Frame)) error {
	events := railexchange.NewEvents(body)
	for !s.done {
		event, err := events.Next()
		if err != nil {
			return errors.CombineErrors(railendpoint.ErrTruncated, err)
		}
		if err := s.readFields(event, emit); err != nil {
			return err
		}
	}
	return nil
}

// readFields handles an event's data, if it has any.
func (s *eventStream) readFields(event railexchange.Event, emit func(*railproto.Frame)) error {
	for line := range strings.Lines(string(event.Raw)) {
		line = strings.TrimRight(line, "\r\n")
		if line == "event: done" {
			s.done = true
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if err := s.handleEvent(data, emit); err != nil {
			return err
		}
	}
	return nil
}

// handleEvent validates an event's data and emits its frame.
func (s *eventStream) handleEvent(data string, emit func(*railproto.Frame)) error {
	var event struct {
		Weights string `json:"weights"`
		Count   uint64 `json:"count"`
	}
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return errors.Wrap(err, "decode an event of the answer")
	}
	if s.digest == "" {
		s.digest = event.Weights
	}
	if event.Weights != s.digest || s.digest == "" {
		return railendpoint.ErrMixedWeights
	}
	if !s.done {
		s.count++
		emit(&railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_DATA, Data: []byte(data), WeightsDigest: s.digest})
		return nil
	}
	if event.Count != s.count {
		return errors.Wrapf(railendpoint.ErrTruncated, "%d of %d events", s.count, event.Count)
	}
	emit(&railproto.Frame{
		Kind: railproto.FrameKind_FRAME_KIND_END, Count: s.count, Status: fasthttp.StatusOK, ContentType: eventStreamType, WeightsDigest: s.digest,
	})
	return nil
}

// resumable reports whether the stream was interrupted after its first event, so that the engine may have the rest.
func (s *eventStream) resumable(err error) bool {
	return errors.Is(err, railendpoint.ErrTruncated) && s.count > 0 && !s.done
}

// forwardStream forwards an answer in events and resumes it when the connection breaks. It resumes only the same run of the request
// at the same engine, after the last received event, so that the caller never gets parts of different answers.
func (c *Client) forwardStream(ctx context.Context, requestID string, body io.Reader, emit func(*railproto.Frame)) error {
	s := &eventStream{}
	err := s.readEvents(body, emit)
	for range maxResumes {
		if !s.resumable(err) || !railtimer.Sleep(ctx, resumeDelay) {
			return err
		}
		resumeErr := c.resumeStream(ctx, requestID, s, emit)
		if errors.Is(resumeErr, errUnknownStream) {
			return err
		}
		err = resumeErr
	}
	return err
}

// resumeStream reads the rest of a stream, from the event after the last received one. It returns errUnknownStream if the engine
// can't resume the stream there.
func (c *Client) resumeStream(ctx context.Context, requestID string, s *eventStream, emit func(*railproto.Frame)) error {
	nextEvent := strconv.FormatUint(s.count, 10)
	req := c.newRequest(fasthttp.MethodGet, "/streams/"+requestID, nil)
	req.Header.Set(lastEventHeader, nextEvent)
	if c.OnResume != nil {
		c.OnResume()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sentAt := time.Now()
	exchange, _, err := railexchange.Start(ctx, c.Address, req)
	if err != nil {
		return railendpoint.ErrTruncated
	}
	defer exchange.Close()
	report := sync.OnceFunc(func() { c.report(&exchange.Header, railendpoint.LimitReport{SentAt: sentAt}) })
	if exchange.Header.StatusCode() != fasthttp.StatusOK || string(exchange.Header.Peek(firstEventHeader)) != nextEvent {
		limit := time.AfterFunc(railexchange.RefusalTimeout, cancel)
		defer limit.Stop()
		if _, err := exchange.ReadAll(maxResponseBytes, nil); err == nil {
			report()
		}
		return errUnknownStream
	}
	return s.readEvents(exchange, reporting(report, emit))
}

// reporting returns emit, which calls report first: a stream counts as a response from its first event on.
func reporting(report func(), emit func(*railproto.Frame)) func(*railproto.Frame) {
	return func(f *railproto.Frame) {
		report()
		emit(f)
	}
}
