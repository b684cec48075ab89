package raillimiter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtual"
	"github.com/fulmarrail/fulmarrail/internal/limit/raillimiter"
)

func TestLimitStaysBelowWhatAWarmingEndpointBears(t *testing.T) {
	const cold, warm, warmAfter = 4, 16, 60
	c := qt.New(t)
	l := &raillimiter.Limiter{ColdLimit: cold, MaxLimit: warm, WarmAfter: warmAfter, FirstTokenTarget: time.Second}
	running, answers := 0, 0
	for range 1000 {
		for _, ok := l.TryAcquire(); ok; _, ok = l.TryAcquire() {
			running++
			bears := min(cold+(warm-cold)*answers/warmAfter, warm)
			c.Assert(running <= bears, qt.IsTrue, qt.Commentf("%d run after %d answers, %d are borne", running, answers, bears))
		}
		running--
		answers++
		l.Release(running+1, 10*time.Millisecond, 0, true)
	}
	c.Check(int(l.Load().GetLimit()), qt.Equals, warm)
}

func TestSlowOrFailedWorkCutsTheLimitOnceForRequestsThatRanTogether(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := &raillimiter.Limiter{ColdLimit: 2, MaxLimit: 32, FirstTokenTarget: time.Second}
		time.Sleep(time.Minute)
		for l.Load().GetLimit() < 32 {
			together := 0
			for n, ok := l.TryAcquire(); ok; n, ok = l.TryAcquire() {
				together = n
			}
			l.Release(together, time.Millisecond, 0, true)
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

func TestIdleEndpointHasToProveItsLimitAgain(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := &raillimiter.Limiter{ColdLimit: 4, MaxLimit: 32, FirstTokenTarget: time.Second}
		for l.Load().GetLimit() < 32 {
			together := 0
			for n, ok := l.TryAcquire(); ok; n, ok = l.TryAcquire() {
				together = n
			}
			l.Release(together, time.Millisecond, 0, true)
		}
		for l.Load().GetRunning() > 0 {
			l.Release(1, time.Millisecond, 0, true)
		}
		time.Sleep(time.Minute)
		c.Check(int(l.Load().GetLimit()), qt.Equals, 4)
	})
}

func TestSlowerTokensTellThatAnEndpointTurnedColdBehindAKeptPrefix(t *testing.T) {
	c := qt.New(t)
	l := &raillimiter.Limiter{ColdLimit: 2, MaxLimit: 32, FirstTokenTarget: time.Second}
	for range 200 {
		together := 0
		for n, ok := l.TryAcquire(); ok; n, ok = l.TryAcquire() {
			together = n
		}
		l.Release(together, 50*time.Millisecond, 20*time.Millisecond, true)
	}
	c.Assert(int(l.Load().GetLimit()) > 8, qt.IsTrue)
	l.Release(1, 60*time.Millisecond, 55*time.Millisecond, true)
	c.Check(int(l.Load().GetLimit()), qt.Equals, 2)
}

func TestDeadlineCutsTheLimitOnlyWhenTheEndpointWasLate(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		for _, test := range []struct {
			name          string
			waited, first time.Duration
			want          int32
		}{
			{"a short deadline in the middle of an answer", 3 * time.Second, 100 * time.Millisecond, 9},
			{"a short deadline before the first token", 200 * time.Millisecond, 0, 9},
			{"no first token within the target", 3 * time.Second, 0, 4},
			{"a first token far later than those before", 3 * time.Second, 2 * time.Second, 2},
		} {
			time.Sleep(time.Minute)
			l := &raillimiter.Limiter{ColdLimit: 2, MaxLimit: 9, FirstTokenTarget: time.Second}
			for l.Load().GetLimit() < 9 {
				together := 0
				for n, ok := l.TryAcquire(); ok; n, ok = l.TryAcquire() {
					together = n
				}
				for range together {
					l.Release(together, 10*time.Millisecond, 0, true)
				}
			}
			_, ok := l.TryAcquire()
			qt.Check(t, ok, qt.IsTrue)
			l.ReleaseExpired(test.waited, test.first, 0)
			qt.Check(t, l.Load().GetLimit(), qt.Equals, test.want, qt.Commentf(test.name))
			qt.Check(t, l.Load().GetRunning(), qt.Equals, int32(0))
		}
	})
}
