package railquarantine

import (
	"slices"
	"time"
)

// tillTolerance is the difference below which two reports of the end of a quarantine are the same: a report takes time on its way.
const tillTolerance = time.Second

// recordSuccess records a successful response with a part. It reports whether that cleared the part.
func (q *Quarantine) recordSuccess(id string, at time.Time) bool {
	cleared := q.part(id).addSuccess(at)
	if !q.clearFromGroups(id, at) && !cleared {
		return false
	}
	q.Log.Info("part of prompts is cleared", "part", id)
	q.wakeWaiting()
	return true
}

// clearFromGroups removes a part from the groups that are older than a successful response. It reports whether there were any.
func (q *Quarantine) clearFromGroups(id string, succeededAt time.Time) bool {
	cleared := false
	for i, g := range q.groups {
		q.groups[i] = g.without(id, succeededAt)
		cleared = cleared || len(q.groups[i].parts) < len(g.parts)
	}
	q.groups = slices.DeleteFunc(q.groups, func(g group) bool { return len(g.parts) == 0 })
	return cleared
}

// recordEnd charges the parts of a request with an engine's end, and quarantines them if enough engines have ended by trials and nothing else
// explains it.
func (q *Quarantine) recordEnd(parts []string, e end) {
	defer q.notifyChange()
	if g := q.quarantinedGroup(parts, e.at); g != nil {
		q.charge(g.parts, e)
		q.dropExplainedEnds()
		return
	}
	charged := slices.DeleteFunc(slices.Clone(parts), func(id string) bool { return q.part(id).trusted(e.at) })
	if len(charged) == 0 {
		charged, e.weak = parts, true
	}
	q.charge(charged, e)
	for _, id := range charged {
		q.dropIfExplained(id, q.part(id))
	}
	if e.onTrial {
		q.quarantine(charged, e.at)
	}
}

// charge adds an engine's end to the parts.
func (q *Quarantine) charge(parts []string, e end) {
	for _, id := range parts {
		if p := q.part(id); p.addEnd(e) {
			p.unreported = true
		}
	}
}

// quarantine quarantines those of the parts that are charged with the most ends, if enough of these are by trials.
func (q *Quarantine) quarantine(parts []string, now time.Time) {
	most := q.mostEnds(parts)
	trialEnds, succeeded := 0, true
	var blamed []string
	for _, id := range parts {
		p := q.part(id)
		if len(p.ends) < most {
			continue
		}
		blamed = append(blamed, id)
		trialEnds, succeeded = max(trialEnds, p.trialEnds()), succeeded && p.succeededLately(now)
	}
	if trialEnds < minTrialEnds {
		return
	}
	slices.Sort(blamed)
	q.addGroup(group{parts: slices.Compact(blamed), since: now, till: now.Add(quarantineTime(trialEnds, succeeded)), unreported: true})
	q.dropExplainedEnds()
}

// quarantineTime returns the time for which parts are quarantined.
func quarantineTime(trialEnds int, succeeded bool) time.Duration {
	d := minQuarantineTime
	if succeeded {
		d = shortQuarantineTime
	}
	for range trialEnds - minTrialEnds {
		d = min(d*quarantineFactor, maxQuarantineTime)
	}
	return d
}

// addGroup quarantines a group, unless a smaller one already does, and drops larger ones. It reports whether that changed anything.
func (q *Quarantine) addGroup(added group) bool {
	q.dropExpiredGroups(time.Now())
	for i := range q.groups {
		if g := &q.groups[i]; g.within(added.parts) {
			if added.till.Sub(g.till) > tillTolerance {
				g.till, g.unreported = added.till, g.unreported || added.unreported
			}
			return false
		}
	}
	q.groups = slices.DeleteFunc(q.groups, func(g group) bool { return added.within(g.parts) })
	q.groups = append(q.groups, added)
	quarantinedParts.Inc()
	q.Log.Warn("parts of prompts are quarantined", "parts", added.parts, "for", time.Until(added.till))
	q.wakeWaiting()
	return true
}

// dropExplainedEnds clears the parts that were running only at engines that have ended under quarantined parts.
func (q *Quarantine) dropExplainedEnds() {
	if len(q.groups) == 0 {
		return
	}
	dropped := false
	for id, p := range q.parts {
		dropped = q.dropIfExplained(id, p) || dropped
	}
	if dropped {
		q.wakeWaiting()
	}
}

// dropIfExplained clears a part if quarantined parts explain all ends that it is charged with. It reports whether it did.
func (q *Quarantine) dropIfExplained(id string, p *part) bool {
	if len(p.ends) == 0 || slices.ContainsFunc(p.ends, func(e end) bool { return !q.explained(e, id) }) {
		return false
	}
	p.ends = nil
	q.clearFromGroups(id, time.Now())
	return true
}

// explained reports whether an engine ended under quarantined parts other than the given one.
func (q *Quarantine) explained(e end, id string) bool {
	isQuarantined := slices.ContainsFunc(q.groups, func(g group) bool { return slices.Contains(g.parts, id) })
	return slices.ContainsFunc(q.groups, func(g group) bool {
		if slices.Contains(g.parts, id) || isQuarantined && !q.likelier(g, q.parts[id]) {
			return false
		}
		return !slices.ContainsFunc(g.parts, func(other string) bool { return !q.part(other).hasEnd(e) })
	})
}

// likelier reports whether a group is a likelier cause than a part of another group: under which more engines have ended, or as many without a
// successful response ever.
func (q *Quarantine) likelier(g group, p *part) bool {
	if most := q.mostEnds(g.parts); most != len(p.ends) {
		return most > len(p.ends)
	}
	everSucceeded := slices.ContainsFunc(g.parts, func(id string) bool { return !q.part(id).succeededAt.IsZero() })
	return !p.succeededAt.IsZero() && !everSucceeded
}
