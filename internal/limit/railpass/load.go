package railpass

import (
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
)

// passesBefore is the number of passes without reading that go by until a first token: the one that runs when the request
// comes, on average half over, and the one that reads the request.
const passesBefore = 1.5

// readingShare is the time of a pass over that without reading, at an engine that is loaded as usual.
const readingShare = 1.6

// Load is the work of one engine.
type Load struct {
	// Running is the number of its requests, those that wait for a slot included.
	Running int
	// PendingPrefill is the time that reading the prompts takes whose first token has not come.
	PendingPrefill time.Duration
}

// Add returns the load with another's added.
func (l Load) Add(other Load) Load {
	return Load{Running: l.Running + other.Running, PendingPrefill: l.PendingPrefill + other.PendingPrefill}
}

// TimeToFirstToken predicts the time to the first token of one more request whose prompt takes the given time to read.
func (l Load) TimeToFirstToken(t railbackend.Timing, read time.Duration) time.Duration {
	return l.PendingPrefill + read + time.Duration(passesBefore*float64(l.steps(t)))
}

// DecodeStall predicts the longest pause in the answers that are being written once one more prompt has to be read.
func (l Load) DecodeStall(t railbackend.Timing, read time.Duration) time.Duration {
	return l.PendingPrefill + read + l.steps(t)
}

// SlotWait predicts the time until one more request has one of a number of slots, each of which an answer of a number of tokens
// takes up.
func (l Load) SlotWait(t railbackend.Timing, slots, tokens int) time.Duration {
	if slots <= 0 || l.Running < slots {
		return 0
	}
	return l.DecodeTime(t, tokens) * time.Duration(l.Running-slots+1) / time.Duration(slots)
}

// DecodeTime predicts the time from an answer's first token to its last.
func (l Load) DecodeTime(t railbackend.Timing, tokens int) time.Duration {
	passes := float64(tokens) / float64(max(t.Stride, 1))
	return time.Duration(passes * readingShare * float64(l.steps(t)))
}

// steps returns the time of a pass without what it reads.
func (l Load) steps(t railbackend.Timing) time.Duration {
	step := t.Step + time.Duration(l.Running)*t.PerSequence
	return time.Duration(t.Stride) * step
}
