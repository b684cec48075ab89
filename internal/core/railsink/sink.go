package railsink

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// capacity is the number of lines that wait to be written at the most.
	capacity = 4096
	// lossPause is the time between two lines that tell of losses.
	lossPause = time.Second
)

// Sink takes whole lines; its fields are set before its first use.
type Sink struct {
	Out io.Writer

	lines chan []byte
	lost  atomic.Int64
}

// New returns a sink before a writer; Run writes what it takes.
func New(out io.Writer) *Sink {
	return &Sink{Out: out, lines: make(chan []byte, capacity)}
}

// Write takes one line; it is lost when too many wait.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.lost.Add(1)
		metrics.GetOrCreateCounter("fulmarrail_log_lines_lost_total").Inc()
	}
	return len(line), nil
}

// Run writes lines until ctx is done, and then what still waits.
func (s *Sink) Run(ctx context.Context) {
	ticker := time.NewTicker(lossPause)
	defer ticker.Stop()
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		case <-ticker.C:
			s.tellLoss()
		case <-ctx.Done():
			s.flush()
			return
		}
	}
}

// Dropped returns the number of dropped lines that have not been reported yet.
func (s *Sink) Dropped() int64 {
	return s.lost.Load()
}

func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		default:
			s.tellLoss()
			return
		}
	}
}

func (s *Sink) tellLoss() {
	if n := s.lost.Swap(0); n > 0 {
		s.put(fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log: lines lost, the reader was too slow\",\"lost\":%d}\n", n))
	}
}

func (s *Sink) put(line []byte) {
	_, _ = s.Out.Write(line) // There is nowhere to tell that the log can't be written.
}
