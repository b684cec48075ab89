package railroster

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
)

const (
	// RewriteTime is the time after a restore of the platform's store within which the platform writes again what the VM list has lost.
	RewriteTime = 15 * time.Second

	listTimeout = 5 * time.Second
)

// Roster caches the most recent VM list returned by the platform. Its exported fields must be set before Run is called.
type Roster struct {
	Region string
	// List reads the platform's VM list as seen from a region.
	List func(ctx context.Context, region string) ([]railmember.Member, error)
	// Incomplete reports whether the list may lack VMs that are there, since the platform's store was restored lately. It is called for a
	// list that lacks VMs of the previous one.
	Incomplete func(ctx context.Context) bool
	Timer      *railtimer.Service
	Interval   time.Duration
	Log        *slog.Logger

	mu         sync.Mutex
	members    []railmember.Member
	generation uint64
}

// Run refreshes the list until ctx is done.
func (r *Roster) Run(ctx context.Context) {
	ticks, stop := r.Timer.Subscribe(r.Interval)
	defer stop()
	for {
		r.Refresh(ctx)
		select {
		case <-ticks:
		case <-ctx.Done():
			return
		}
	}
}

// Refresh reads the list once. It keeps the previous list if the read fails, and adds the VMs of the previous list that an incomplete one
// lacks.
func (r *Roster) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	members, err := r.List(ctx, r.Region)
	if err != nil {
		r.Log.Debug("could not read the VM list; keeping the previous one", "err", err)
		return
	}
	if missing := r.missing(members); len(missing) > 0 && r.Incomplete(ctx) {
		r.Log.Info("the VM list was restored; keeping VMs that it lacks", "vms", len(missing))
		members = append(members, missing...)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Equal(r.members, members) {
		r.members = members
		r.generation++
	}
}

// Generation returns a number that increases with each change of the list.
func (r *Roster) Generation() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generation
}

// missing returns the members that a new list lacks.
func (r *Roster) missing(members []railmember.Member) []railmember.Member {
	listed := make(map[string]bool, len(members))
	for _, m := range members {
		listed[m.Name] = true
	}
	return r.Members(func(m railmember.Member) bool { return !listed[m.Name] })
}

// Members returns the listed members for which match returns true. Some of them may no longer exist.
func (r *Roster) Members(match func(railmember.Member) bool) []railmember.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.members), func(m railmember.Member) bool { return !match(m) })
}
