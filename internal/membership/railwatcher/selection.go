package railwatcher

import (
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/routing/railhash"
)

// selectTargets returns the endpoints to watch: a subset of each service, and the endpoints that rank this entry among their
// first minWatchers. The result is recomputed only when the list or the revision changes.
func (w *Watcher) selectTargets(revision railrevision.Revision) []railmember.Member {
	key := [2]uint64{w.Roster.Generation(), revision.Number}
	w.mu.Lock()
	selected, cachedKey := w.selected, w.selectionKey
	w.mu.Unlock()
	if key == cachedKey {
		return selected
	}
	entries := w.Roster.Members(func(m railmember.Member) bool { return m.Role == railmember.RoleEntry && !m.Leaving })
	selected = nil
	primary := map[string]bool{}
	for _, service := range revision.Spec().Services() {
		members := w.Roster.Members(func(m railmember.Member) bool {
			return m.Role == railmember.RoleAgent && m.Service == service.Name
		})
		inSubset := map[string]bool{}
		for _, m := range rankingByName().Top(w.Name, members, service.SubsetSize) {
			inSubset[m.Name] = true
		}
		for _, m := range members {
			rank := w.watcherRank(m, entries)
			primary[m.Name] = rank == 0
			if inSubset[m.Name] || rank < minWatchers {
				selected = append(selected, m)
			}
		}
	}
	w.mu.Lock()
	w.selected, w.primary, w.selectionKey = selected, primary, key
	w.mu.Unlock()
	return selected
}

// watcherRank returns the position of this entry in the endpoint's rendezvous hashing order, from 0 on.
func (w *Watcher) watcherRank(m railmember.Member, entries []railmember.Member) int {
	ownScore := railhash.Score(m.Name, w.Name)
	rank := 0
	for _, e := range entries {
		if e.Name != w.Name && railhash.Score(m.Name, e.Name) > ownScore {
			rank++
		}
	}
	return rank
}

// samplePeers returns a few other entries, and tracks when each of them last replied. The sample is stable as long as the list does
// not change.
func (w *Watcher) samplePeers() []railmember.Member {
	members := w.Roster.Members(func(m railmember.Member) bool {
		return m.Role == railmember.RoleEntry && m.Name != w.Name && !m.Leaving
	})
	sample := rankingByName().Top(w.Name, members, peerSampleSize)
	w.mu.Lock()
	defer w.mu.Unlock()
	previous := w.peersLastSeen
	w.peersLastSeen = make(map[string]time.Time, len(sample))
	for _, m := range sample {
		lastSeen, ok := previous[m.Name]
		if !ok {
			lastSeen = time.Now() // A new peer counts as reachable until the timeout has passed once.
		}
		w.peersLastSeen[m.Name] = lastSeen
	}
	return sample
}

func rankingByName() railhash.Ranking[railmember.Member] {
	return railhash.Ranking[railmember.Member]{Name: func(m railmember.Member) string { return m.Name }}
}
