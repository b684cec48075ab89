package raillimiter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/limit/raillimiter"
)

func TestLimitStaysWithinCapacityOfWarmingEndpoint(t *testing.T) {
	const cold, warm, warmAfter = 4, 16, 60
	c := qt.New(t)
	l := &raillimiter.Limiter{ColdLimit: cold, MaxLimit: warm, WarmAfter: warmAfter, FirstTokenTarget: time.Second}
	running, responses := 0, 0
	for range 1000 {
		for _, ok := l.TryAcquire(); ok; _, ok = l.TryAcquire() {
			running++
			capacity := min(cold+(warm-cold)*responses/warmAfter, warm)
			c.Assert(running <= capacity, qt.IsTrue, qt.Commentf("%d requests in flight after %d responses, capacity is %d", running, responses, capacity))
		}
		running--
		responses++
		l.Release(running+1, 10*time.Millisecond, 0, true)
	}
	c.Check(int(l.Load().GetLimit()), qt.Equals, warm)
}

func TestConcurrentSlowOrFailedRequestsDecreaseLimitOnce(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := &raillimiter.Limiter{ColdLimit: 2, MaxLimit: 32, FirstTokenTarget: time.Second}
		time.Sleep(time.Minute)
		for l.Load().GetLimit() < 32 {
			inFlight := 0
			for n, ok := l.TryAcquire(); ok; n, ok = l.TryAcquire() {
				inFlight = n
			}
			l.Release(inFlight, time.Millisecond, 0, true)
		}
		for l.Load().GetRunning() > 0 {
			l.Release(1, 1100*time.Millisecond, 0, false)
		}
		c.Check(int(l.Load().GetLimit()), qt.Equals, 16)
		time.Sleep(500 * time.Millisecond)
		_, ok := l.TryAcquire()
		c.Assert(ok, qt.IsTrue)
		l.Release(1, 1100*time.Millisecond, 0, false)
		c.Check(int(l.Load().GetLimit()), qt.Equals, 8)
	})
}

func TestLimitReturnsToColdLimitAfterIdlePeriod(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := &raillimiter.Limiter{ColdLimit: 4, MaxLimit: 32, FirstTokenTarget: time.Second}
		for l.Load().GetLimit() < 32 {
			inFlight := 0
			for n, ok := l.TryAcquire(); ok; n, ok = l.TryAcquire() {
				inFlight = n
			}
			l.Release(inFlight, time.Millisecond, 0, true)
		}
		for l.Load().GetRunning() > 0 {
			l.Release(1, time.Millisecond, 0, true)
		}
		time.Sleep(time.Minute)
		c.Check(int(l.Load().GetLimit()), qt.Equals, 4)
	})
}

func TestSlowerTokensResetLimitDespiteCachedPrefix(t *testing.T) {
	c := qt.New(t)
	l := &raillimiter.Limiter{ColdLimit: 2, MaxLimit: 32, FirstTokenTarget: time.Second}
	for range 200 {
		inFlight := 0
		for n, ok := l.TryAcquire(); ok; n, ok = l.TryAcquire() {
			inFlight = n
		}
		l.Release(inFlight, 50*time.Millisecond, 20*time.Millisecond, true)
	}
	c.Assert(int(l.Load().GetLimit()) > 8, qt.IsTrue)
	l.Release(1, 60*time.Millisecond, 55*time.Millisecond, true)
	c.Check(int(l.Load().GetLimit()), qt.Equals, 2)
}

func TestExpiredRequestDecreasesLimitOnlyIfEndpointWasLate(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		for _, test := range []struct {
			name                string
			elapsed, firstToken time.Duration
			want                int32
		}{
			{"a short deadline in the middle of an answer", 3 * time.Second, 100 * time.Millisecond, 9},
			{"a short deadline before the first token", 200 * time.Millisecond, 0, 9},
			{"no first token within the target", 3 * time.Second, 0, 4},
			{"a first token far later than those before", 3 * time.Second, 2 * time.Second, 2},
		} {
			time.Sleep(time.Minute)
			l := &raillimiter.Limiter{ColdLimit: 2, MaxLimit: 9, FirstTokenTarget: time.Second}
			for l.Load().GetLimit() < 9 {
				inFlight := 0
				for n, ok := l.TryAcquire(); ok; n, ok = l.TryAcquire() {
					inFlight = n
				}
				for range inFlight {
					l.Release(inFlight, 10*time.Millisecond, 0, true)
				}
			}
			_, ok := l.TryAcquire()
			qt.Check(t, ok, qt.IsTrue)
			l.ReleaseExpired(test.elapsed, test.firstToken, 0)
			qt.Check(t, l.Load().GetLimit(), qt.Equals, test.want, qt.Commentf(test.name))
			qt.Check(t, l.Load().GetRunning(), qt.Equals, int32(0))
		}
	})
}
