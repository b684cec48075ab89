package raillogsink

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxQueuedLines bounds the number of lines waiting to be written.
	maxQueuedLines = 4096
	// dropReportInterval is the time between log lines that report dropped lines.
	dropReportInterval = time.Second
)

// Sink is an io.Writer that queues whole log lines and writes them to Out in the background. New creates one.
type Sink struct {
	Out io.Writer

	lines   chan []byte
	dropped atomic.Int64
}

// New returns a sink for out. Run writes the queued lines.
func New(out io.Writer) *Sink {
	return &Sink{Out: out, lines: make(chan []byte, maxQueuedLines)}
}

// Write queues a copy of one line, or drops the line if the queue is full. It never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
		metrics.GetOrCreateCounter("fulmarrail_log_lines_lost_total").Inc()
	}
	return len(line), nil
}

// Run writes queued lines until ctx is done, and then writes those still in the queue.
func (s *Sink) Run(ctx context.Context) {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-s.lines:
			s.writeLine(line)
		case <-ticker.C:
			s.reportDropped()
		case <-ctx.Done():
			s.flush()
			return
		}
	}
}

// Dropped returns the number of dropped lines that have not been reported yet.
func (s *Sink) Dropped() int64 {
	return s.dropped.Load()
}

func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines:
			s.writeLine(line)
		default:
			s.reportDropped()
			return
		}
	}
}

func (s *Sink) reportDropped() {
	if n := s.dropped.Swap(0); n > 0 {
		s.writeLine(fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log: lines lost, the reader was too slow\",\"lost\":%d}\n", n))
	}
}

func (s *Sink) writeLine(line []byte) {
	_, _ = s.Out.Write(line) // A failure to write the log can't be reported anywhere else.
}
