package railsink_test

import (
	"context"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/core/railsink"
)

// A reader that stops reading must not hold up those that log.
func TestAReaderThatStopsReadingLosesLinesOnly(t *testing.T) {
	r, w := io.Pipe()
	s := railsink.New(w)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		s.Run(ctx)
		close(stopped)
	}()
	const lines = 20_000
	for range lines {
		_, err := s.Write([]byte("a line\n"))
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Check(t, s.Dropped() > 0 && s.Dropped() < lines, qt.IsTrue, qt.Commentf("%d lost", s.Dropped()))
	read := make(chan string)
	go func() {
		all, _ := io.ReadAll(r)
		read <- string(all)
	}()
	cancel()
	<-stopped
	qt.Assert(t, w.Close(), qt.IsNil)
	got := <-read
	qt.Check(t, strings.Contains(got, `"lost":`), qt.IsTrue)
	qt.Check(t, strings.Count(got, "a line\n") > 1000, qt.IsTrue)
}
