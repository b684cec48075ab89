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

const listTimeout = 5 * time.Second

// Roster caches the most recent VM list returned by the platform. Its exported fields must be set before Run is called.
type Roster struct {
	Region string
	// List reads the platform's VM list as seen from a region.
	List     func(ctx context.Context, region string) ([]railmember.Member, error)
	Timer    *railtimer.Service
	Interval time.Duration
	Log      *slog.Logger

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

// Refresh reads the list once. It keeps the previous list if the read fails.
func (r *Roster) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	members, err := r.List(ctx, r.Region)
	if err != nil {
		r.Log.Debug("could not read the VM list; keeping the previous one", "err", err)
		return
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

// Members returns the listed members for which match returns true. Some of them may no longer exist.
func (r *Roster) Members(match func(railmember.Member) bool) []railmember.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.members), func(m railmember.Member) bool { return !match(m) })
}
