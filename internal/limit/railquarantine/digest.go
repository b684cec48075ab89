package railquarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// maxReported limits the parts, and the groups, in one digest, and maxReportedEnds the ends of a part, so that it fits into a packet.
	maxReported     = 8
	maxReportedEnds = 4
	// maxTransit is the time that a digest may have been on its way. An end is taken to be older by that much, so that a successful response in between
	// counts as newer; and a successful response is only a new one if it is newer by more.
	maxTransit = 20 * time.Millisecond
)

// Digest returns the newest of what this entry knows of parts under suspicion and in quarantine, or nil if there are none.
func (q *Quarantine) Digest() *railproto.PartDigest {
	q.init()
	q.mu.Lock()
	defer q.mu.Unlock()
	var ids []string
	for id, p := range q.parts {
		if len(p.ends) > 0 {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return q.parts[b].lastEnd().Compare(q.parts[a].lastEnd()) })
	ids = ids[:min(len(ids), maxReported)]
	return q.report(ids, q.groups[max(len(q.groups)-maxReported, 0):])
}

// Changes returns what this entry has learned by itself and not returned yet, or nil if there is nothing. If there is more than fits, Changed
// receives another value.
func (q *Quarantine) Changes() *railproto.PartDigest {
	q.init()
	q.mu.Lock()
	defer q.mu.Unlock()
	var ids []string
	for id, p := range q.parts {
		if p.unreported {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(len(q.parts[b].ends), len(q.parts[a].ends)) })
	if len(ids) > maxReported {
		ids = ids[:maxReported]
		q.notifyChange()
	}
	for _, id := range ids {
		q.parts[id].unreported = false
	}
	var groups []group
	for i := range q.groups {
		if g := &q.groups[i]; g.unreported && len(groups) < maxReported {
			groups = append(groups, *g)
			g.unreported = false
		}
	}
	return q.report(ids, groups)
}

// report returns a digest of parts and groups, or nil if there are none.
func (q *Quarantine) report(ids []string, groups []group) *railproto.PartDigest {
	now := time.Now()
	digest := &railproto.PartDigest{}
	for _, id := range ids {
		digest.Parts = append(digest.Parts, q.parts[id].toProto(id, now))
	}
	for _, g := range groups {
		if now.Before(g.till) {
			digest.Groups = append(digest.Groups, g.toProto(now))
		}
	}
	if len(digest.Parts) == 0 && len(digest.Groups) == 0 {
		return nil
	}
	return digest
}

// Merge adds what another entry knows.
func (q *Quarantine) Merge(digest *railproto.PartDigest) {
	q.init()
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	changed := false
	for _, reported := range digest.GetParts() {
		p := q.part(reported.GetPart())
		if succeededAt := now.Add(-millis(reported.GetSuccess().GetAgeMillis())); reported.Success != nil && succeededAt.Sub(p.succeededAt) > maxTransit {
			changed = q.recordSuccess(reported.GetPart(), succeededAt) || changed
		}
		for _, e := range reported.GetEnds() {
			at := now.Add(-millis(e.GetAgeMillis()) - maxTransit)
			changed = p.addEnd(end{engine: e.GetEngine(), at: at, onTrial: e.GetOnTrial(), weak: e.GetWeak()}) || changed
		}
	}
	for _, g := range digest.GetGroups() {
		changed = q.mergeGroup(group{parts: g.GetParts(), since: now.Add(-millis(g.GetAgeMillis())), till: now.Add(millis(g.GetRemainingMillis()))}) || changed
	}
	if changed {
		q.dropExplainedEnds()
	}
}

// mergeGroup adds another entry's group, without the parts that this entry knows to succeed. It reports whether that changed anything.
func (q *Quarantine) mergeGroup(g group) bool {
	for _, id := range g.parts {
		if p := q.parts[id]; p != nil {
			g = g.without(id, p.succeededAt)
		}
	}
	return len(g.parts) > 0 && q.addGroup(g)
}

func (p *part) toProto(id string, now time.Time) *railproto.SuspectedPart {
	reported := &railproto.SuspectedPart{Part: id}
	if !p.succeededAt.IsZero() {
		reported.Success = &railproto.Success{AgeMillis: now.Sub(p.succeededAt).Milliseconds()}
	}
	for _, e := range p.ends[max(len(p.ends)-maxReportedEnds, 0):] {
		reported.Ends = append(reported.Ends, &railproto.EngineEnd{Engine: e.engine, AgeMillis: now.Sub(e.at).Milliseconds(), OnTrial: e.onTrial, Weak: e.weak})
	}
	return reported
}

func (g *group) toProto(now time.Time) *railproto.QuarantinedParts {
	return &railproto.QuarantinedParts{Parts: g.parts, AgeMillis: now.Sub(g.since).Milliseconds(), RemainingMillis: g.till.Sub(now).Milliseconds()}
}

func millis(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
