package railreplica

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarrail/fulmarrail/internal/store/railera"
	"github.com/fulmarrail/fulmarrail/internal/store/railversion"
)

const (
	// replacedTTL is the time for which replaced states of rows are remembered, since a copy may have them.
	replacedTTL = railera.MaxCopyAge
	// staleTTL is the longest time for which a known state holds in place of the older one in a restored copy, if nobody writes the row.
	staleTTL = time.Minute
	// maxReplaced is the number of replaced states that are remembered for a row.
	maxReplaced = 32
	// maxRemoved is the number of removals that are remembered for other processes.
	maxRemoved = 1024
)

// rowSet holds a table's rows as the store has them, and what is known better than the store has it after an outage or a restore. Its
// times are times since boot.
type rowSet struct {
	rows map[string]Row
	// kept holds the rows whose state in the store is missing or older than what was read before.
	kept map[string]keptRow
	// replaced holds the states of each row that later ones have replaced, oldest first.
	replaced map[string][]replacedRow
	// graceEnd is the time until which rows that the store lacks are kept.
	graceEnd time.Duration
	// removed holds the versions at which rows were removed since historyStart.
	removed      map[string]int64
	historyStart int64
}

// keptRow is a row that holds in place of the store's until a time: one that the store lacks, until graceEnd, or the newer state of one that a
// restored copy has in an older state, for staleTTL at most. If it is removed, the store's row is hidden.
type keptRow struct {
	Row
	until time.Duration
}

// replacedRow identifies a state of a row by the store's number and the hash of its value.
type replacedRow struct {
	number int64
	hash   uint64
	// at is the time at which a later state was read.
	at time.Duration
}

// view returns the rows by key.
func (s *rowSet) view() map[string]Row {
	view := make(map[string]Row, len(s.rows)+len(s.kept))
	maps.Copy(view, s.rows)
	for key, kept := range s.kept {
		if kept.Removed {
			delete(view, key)
		} else {
			view[key] = kept.Row
		}
	}
	return view
}

// get returns a row, or false if there is none.
func (s *rowSet) get(key string) (Row, bool) {
	if kept, ok := s.kept[key]; ok {
		return kept.Row, !kept.Removed
	}
	row, ok := s.rows[key]
	return row, ok
}

// startGrace starts the time within which rows that the store lacks are kept. It extends that of rows that were still kept when the store was
// last known to respond: their writers could not write them since.
func (s *rowSet) startGrace(lastResponse, end time.Duration) {
	s.graceEnd = end
	for key, kept := range s.kept {
		if _, listed := s.rows[key]; !listed && lastResponse < kept.until {
			s.kept[key] = keptRow{Row: kept.Row, until: max(kept.until, end)}
		}
	}
}

// replace applies a read of the whole table. If the store was restored from a copy since the last read, rows in a state that a later one has
// replaced are stale.
func (s *rowSet) replace(rows []Row, restored bool, now time.Duration) {
	known, next := s.view(), ByKey(rows)
	// What is kept goes on holding as long as the store's row has not changed.
	maps.DeleteFunc(s.kept, func(key string, _ keptRow) bool { return !sameState(s.rows[key], next[key]) })
	if s.kept == nil {
		s.kept = map[string]keptRow{}
	}
	for key, row := range known {
		if _, ok := next[key]; !ok && now < s.graceEnd {
			s.kept[key] = keptRow{Row: row, until: s.graceEnd}
		}
	}
	if restored {
		s.keepNewerStates(known, next, now)
	}
	for key, row := range s.rows {
		if _, kept := s.kept[key]; !kept && !sameState(row, next[key]) {
			s.rememberReplaced(row, now)
		}
	}
	s.rows = next
}

// keepNewerStates keeps the known states of the rows that a restored copy has in a state which they have replaced.
func (s *rowSet) keepNewerStates(known, copied map[string]Row, now time.Duration) {
	for key, row := range copied {
		current, ok := known[key]
		if !ok {
			current = Row{Key: key, Removed: true}
		}
		if !bytes.Equal(current.Value, row.Value) && s.wasReplaced(row) {
			s.kept[key] = keptRow{Row: current, until: now + staleTTL}
		}
	}
}

// awaitsNewerStates reports whether the store has a row in an older state than is known and its writers may not have had the time to write
// again what it lacks, so that it may lack more than that.
func (s *rowSet) awaitsNewerStates(now time.Duration) bool {
	if now >= s.graceEnd {
		return false
	}
	for key := range s.kept {
		if _, listed := s.rows[key]; listed {
			return true
		}
	}
	return false
}

// change applies a change of a row. Until graceEnd, a row that is removed is kept.
func (s *rowSet) change(row Row, now time.Duration) {
	current, known := s.get(row.Key)
	if known {
		s.rememberReplaced(current, now)
	}
	delete(s.kept, row.Key)
	if !row.Removed {
		s.rows[row.Key] = row
		delete(s.removed, row.Key)
		return
	}
	delete(s.rows, row.Key)
	s.rememberRemoved(row)
	if known && now < s.graceEnd {
		s.kept[row.Key] = keptRow{Row: current, until: s.graceEnd}
	}
}

// startHistory forgets all removals, since the table was read whole at a version.
func (s *rowSet) startHistory(version int64) {
	s.removed, s.historyStart = map[string]int64{}, version
}

func (s *rowSet) rememberRemoved(row Row) {
	if len(s.removed) >= maxRemoved {
		for _, version := range s.removed {
			s.historyStart = max(s.historyStart, version)
		}
		clear(s.removed)
	}
	s.removed[row.Key] = row.Version
}

// changesSince returns the store's rows, and the removals, that are newer than a version.
func (s *rowSet) changesSince(after int64) []Row {
	var changes []Row
	for _, row := range s.rows {
		if row.Version > after {
			changes = append(changes, row)
		}
	}
	for key, version := range s.removed {
		if version > after {
			changes = append(changes, Row{Key: key, Version: version, Removed: true})
		}
	}
	return changes
}

// expire drops the kept rows whose time is over, and reports whether there were any. It also forgets old replaced states.
func (s *rowSet) expire(now time.Duration) bool {
	n := len(s.kept)
	maps.DeleteFunc(s.kept, func(_ string, kept keptRow) bool { return now >= kept.until })
	maps.DeleteFunc(s.replaced, func(_ string, states []replacedRow) bool { return now-states[len(states)-1].at > replacedTTL })
	return len(s.kept) < n
}

// nextExpiry returns the time until the next kept row expires, or false if none is kept.
func (s *rowSet) nextExpiry(now time.Duration) (time.Duration, bool) {
	first, found := time.Duration(0), false
	for _, kept := range s.kept {
		if !found || kept.until < first {
			first, found = kept.until, true
		}
	}
	return max(first-now, 0), found
}

func (s *rowSet) rememberReplaced(row Row, now time.Duration) {
	if s.replaced == nil {
		s.replaced = map[string][]replacedRow{}
	}
	states := s.replaced[row.Key]
	if len(states) == maxReplaced {
		states = slices.Delete(states, 0, 1)
	}
	s.replaced[row.Key] = append(states, replacedRow{number: railversion.Number(row.Version), hash: xxhash.Sum64(row.Value), at: now})
}

// sameState reports whether two reads of a row show the same state. Restores don't count.
func sameState(a, b Row) bool {
	return railversion.Number(a.Version) == railversion.Number(b.Version) && bytes.Equal(a.Value, b.Value)
}

// wasReplaced reports whether a row of a restored copy is in a state that was read before and replaced by a later one. The copy's rows have
// the numbers that they had before.
func (s *rowSet) wasReplaced(row Row) bool {
	number, hash := railversion.Number(row.Version), xxhash.Sum64(row.Value)
	return slices.ContainsFunc(s.replaced[row.Key], func(r replacedRow) bool { return r.number == number && r.hash == hash })
}
