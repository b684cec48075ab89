package railquarantine

import (
	"slices"
	"time"
)

const (
	// successMemory is the time for which a successful response counts for the parts of its prompt.
	successMemory = time.Minute
	// endMemory is the time after which an engine's end is no longer held against a part, and trialEndMemory the time if it ended by a trial.
	endMemory      = 10 * time.Minute
	trialEndMemory = 2 * maxQuarantineTime
	// maxEnds is the number of engines' ends that are kept for a part.
	maxEnds = 8
	// sameEndWindow is the time within which reports of the end of the same engine are about the same end.
	sameEndWindow = time.Second
	// trialTime is the time for which a trial keeps other requests with its parts waiting.
	trialTime = time.Second
)

// part is what is known of one part of a prompt.
type part struct {
	// succeededAt is the time of the last successful response, or zero if there was none.
	succeededAt time.Time
	// ends holds the engines that have ended since succeededAt while a request with the part had not succeeded.
	ends []end
	// trial is the pass of the request that runs as a suspect, or nil, and trialSince the time since when.
	trial      *Pass
	trialSince time.Time
	// unreported is set when this entry has learned something of the part by itself that it has not reported to the others.
	unreported bool
}

// end is the end of an engine.
type end struct {
	// engine is a hash of the engine's ID.
	engine uint64
	at     time.Time
	// onTrial is set if the request was a trial, and weak if all parts of the request had succeeded lately.
	onTrial, weak bool
}

// same reports whether two reports are about the same end.
func (e end) same(other end) bool {
	return e.engine == other.engine && e.at.Sub(other.at).Abs() < sameEndWindow
}

// trusted reports whether a successful response is newer than all ends that the part is charged with.
func (p *part) trusted(now time.Time) bool {
	return len(p.ends) == 0 && p.succeededLately(now)
}

func (p *part) succeededLately(now time.Time) bool {
	return !p.succeededAt.IsZero() && now.Sub(p.succeededAt) < successMemory
}

// suspect reports whether requests with the part have to run as trials.
func (p *part) suspect() bool {
	return len(p.ends) > 1 || len(p.ends) == 1 && !p.ends[0].weak
}

// trialUntil returns the time until which a trial keeps other requests waiting, or zero if there is none.
func (p *part) trialUntil() time.Time {
	if p.trial == nil {
		return time.Time{}
	}
	return p.trialSince.Add(trialTime)
}

// trialEnds returns the number of ends by trials.
func (p *part) trialEnds() int {
	n := 0
	for _, e := range p.ends {
		if e.onTrial {
			n++
		}
	}
	return n
}

// addEnd charges the part with an engine's end. It reports whether that changed anything: the end may be known, or older than a successful response.
func (p *part) addEnd(e end) bool {
	if !e.at.After(p.succeededAt) {
		return false
	}
	if i := slices.IndexFunc(p.ends, e.same); i >= 0 {
		known := &p.ends[i]
		changed := e.onTrial && !known.onTrial || known.weak && !e.weak
		known.onTrial, known.weak = known.onTrial || e.onTrial, known.weak && e.weak
		return changed
	}
	p.ends = append(p.ends, e)
	if len(p.ends) > maxEnds {
		p.ends = p.ends[1:]
	}
	return true
}

func (p *part) hasEnd(e end) bool {
	return slices.ContainsFunc(p.ends, e.same)
}

// lastEnd returns the time of the newest end, or zero if there is none.
func (p *part) lastEnd() time.Time {
	var last time.Time
	for _, e := range p.ends {
		last = later(last, e.at)
	}
	return last
}

// addSuccess records a successful response. It reports whether that cleared the part.
func (p *part) addSuccess(at time.Time) bool {
	if !at.After(p.succeededAt) {
		return false
	}
	p.succeededAt = at
	charged := len(p.ends)
	p.ends = slices.DeleteFunc(p.ends, func(e end) bool { return !e.at.After(at) })
	return charged > 0 && len(p.ends) == 0
}

// forget drops ends that are too old to count, and reports whether nothing is left that is worth keeping.
func (p *part) forget(now time.Time) bool {
	memory := endMemory
	if p.trialEnds() > 0 {
		memory = trialEndMemory
	}
	p.ends = slices.DeleteFunc(p.ends, func(e end) bool { return now.Sub(e.at) >= memory })
	return len(p.ends) == 0 && p.trial == nil && !p.succeededLately(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
