package railquarantine

import (
	"slices"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/routing/railhash"
)

const (
	// restartWindow is the time within which an engine's restart explains an attempt that broke off.
	restartWindow = 5 * time.Second
	// maxBroken limits the attempts that are kept for that time.
	maxBroken = 256
)

// brokenAttempt is an attempt that broke off at an engine that seemed to be there afterwards.
type brokenAttempt struct {
	parts []string
	// end is the engine's end, if it had ended.
	end end
}

// addBreak keeps an attempt that broke off.
func (q *Quarantine) addBreak(b brokenAttempt, now time.Time) {
	q.broken = slices.DeleteFunc(q.broken, func(old brokenAttempt) bool { return now.Sub(old.end.at) >= restartWindow })
	if len(q.broken) == maxBroken {
		q.broken = q.broken[1:]
	}
	q.broken = append(q.broken, b)
}

// EngineRestarted records that an engine has started again, or that another one has taken its place. What broke off there lately did so because it
// had ended.
func (q *Quarantine) EngineRestarted(engine string) {
	q.init()
	q.mu.Lock()
	defer q.mu.Unlock()
	id, now := railhash.Score("", engine), time.Now()
	var ended []brokenAttempt
	q.broken = slices.DeleteFunc(q.broken, func(b brokenAttempt) bool {
		if b.end.engine != id {
			return false
		}
		if now.Sub(b.end.at) < restartWindow {
			ended = append(ended, b)
		}
		return true
	})
	for _, b := range ended {
		q.Log.Warn("engine had ended before a response succeeded", "endpoint", engine, "parts", b.parts, "trial", b.end.onTrial)
		q.recordEnd(b.parts, b.end)
	}
}
