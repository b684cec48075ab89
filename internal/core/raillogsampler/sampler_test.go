package raillogsampler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/core/raillogsampler"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
)

func TestSamplerCountsSuppressedLines(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		s := raillogsampler.Sampler{PerSecond: 5}
		logged := 0
		for range 20 {
			if _, ok := s.Allow(); ok {
				logged++
			}
		}
		qt.Check(t, logged, qt.Equals, 5)
		time.Sleep(time.Second)
		suppressed, ok := s.Allow()
		qt.Check(t, ok, qt.IsTrue)
		qt.Check(t, suppressed, qt.Equals, 15)
	})
}
