package railquarantine

import (
	"slices"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
)

// group is a set of parts that is quarantined: no request that has all of them may run. It usually has one part; it has more if none of
// them was ever seen without the others.
type group struct {
	parts       []string
	since, till time.Time
	// unreported is set until this entry has reported a group of its own to the others.
	unreported bool
}

// tillWith returns the end of the quarantine if it lasts longer by a share.
func (g *group) tillWith(extension float64) time.Time {
	return g.till.Add(railtimer.Scale(extension, g.till.Sub(g.since)))
}

// within reports whether all parts of the group are among the given ones.
func (g *group) within(parts []string) bool {
	return !slices.ContainsFunc(g.parts, func(id string) bool { return !slices.Contains(parts, id) })
}

// without returns the group without a part that a successful response at the given time has cleared.
func (g *group) without(id string, succeededAt time.Time) group {
	left := *g
	if succeededAt.After(g.since) {
		left.parts = slices.DeleteFunc(slices.Clone(g.parts), func(other string) bool { return other == id })
	}
	return left
}
