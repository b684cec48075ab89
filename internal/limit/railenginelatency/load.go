package railenginelatency

import (
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
)

// passesBeforeFirstToken is the number of passes, without their prefill, until a first token: the pass that is running when the
// request arrives, half over on average, and the pass that prefills the request.
const passesBeforeFirstToken = 1.5

// loadedPassFactor is the duration of a pass of an engine under typical load, relative to a pass without prefill.
const loadedPassFactor = 1.6

// Load is the load of one engine.
type Load struct {
	// Running is the number of requests at the engine, including those that wait for a slot.
	Running int
	// PendingPrefill is the time to prefill the prompts of all requests that have no first token yet.
	PendingPrefill time.Duration
}

// Add returns the sum of both loads.
func (l Load) Add(other Load) Load {
	return Load{Running: l.Running + other.Running, PendingPrefill: l.PendingPrefill + other.PendingPrefill}
}

// Sub returns the load without another one that is part of it.
func (l Load) Sub(other Load) Load {
	return Load{Running: l.Running - other.Running, PendingPrefill: l.PendingPrefill - other.PendingPrefill}
}

// TimeToFirstToken predicts the time to the first token of an additional request whose prompt takes the given time to prefill.
func (l Load) TimeToFirstToken(t railbackend.Timing, prefill time.Duration) time.Duration {
	return l.PendingPrefill + prefill + time.Duration(passesBeforeFirstToken*float64(l.decodePassTime(t)))
}

// DecodeStall predicts the longest gap between tokens in the running responses if an additional prompt has to be prefilled.
func (l Load) DecodeStall(t railbackend.Timing, prefill time.Duration) time.Duration {
	return l.PendingPrefill + prefill + l.decodePassTime(t)
}

// SlotWait predicts how long an additional request waits for one of the engine's slots, if each response occupies a slot for the
// given number of tokens.
func (l Load) SlotWait(t railbackend.Timing, slots, tokens int) time.Duration {
	if slots <= 0 || l.Running < slots {
		return 0
	}
	return l.DecodeTime(t, tokens) * time.Duration(l.Running-slots+1) / time.Duration(slots)
}

// DecodeTime predicts the time from the first to the last token of a response.
func (l Load) DecodeTime(t railbackend.Timing, tokens int) time.Duration {
	passes := float64(tokens) / float64(max(t.StepsPerPass, 1))
	return time.Duration(passes * loadedPassFactor * float64(l.decodePassTime(t)))
}

// decodePassTime returns the duration of a pass without prefill.
func (l Load) decodePassTime(t railbackend.Timing) time.Duration {
	step := t.StepTime + time.Duration(l.Running)*t.StepTimePerSequence
	return time.Duration(t.StepsPerPass) * step
}
