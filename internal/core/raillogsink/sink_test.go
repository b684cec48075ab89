package raillogsink_test

import (
	"context"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/core/raillogsink"
)

// If nothing reads the log output, Write must drop lines rather than block its callers.
func TestStalledReaderDropsLinesWithoutBlockingWriters(t *testing.T) {
	r, w := io.Pipe()
	s := raillogsink.New(w)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		s.Run(ctx)
		close(stopped)
	}()
	const lineCount = 20_000
	for range lineCount {
		_, err := s.Write([]byte("a line\n"))
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Check(t, s.Dropped() > 0 && s.Dropped() < lineCount, qt.IsTrue, qt.Commentf("%d lost", s.Dropped()))
	output := make(chan string)
	go func() {
		data, _ := io.ReadAll(r)
		output <- string(data)
	}()
	cancel()
	<-stopped
	qt.Assert(t, w.Close(), qt.IsNil)
	got := <-output
	qt.Check(t, strings.Contains(got, `"lost":`), qt.IsTrue)
	qt.Check(t, strings.Count(got, "a line\n") > 1000, qt.IsTrue)
}
