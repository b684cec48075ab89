package railslots

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
)

const free = ""

// ErrNone means that all slots are taken.
var ErrNone = errors.New("all slots are taken")

// Slots takes leases on a bounded number of rows for one holder; its fields are set before its first use.
type Slots struct {
	Table railtable.Table
	// Holder names this incarnation of the agent.
	Holder string
	// Lease is the time after which a slot whose row does not change is free again.
	Lease time.Duration

	mu      sync.Mutex
	row     string
	version int64
	renewed time.Time
	seen    map[string]sighting
}

type sighting struct {
	version int64
	at      time.Time
}

// Acquire takes one of n slots of a group, or returns ErrNone or the platform's error.
func (s *Slots) Acquire(ctx context.Context, group string, n int) error {
	for i := range n {
		err := s.try(ctx, fmt.Sprintf("slot/%s/%d", group, i))
		if err == nil {
			return nil
		}
		if !errors.Is(err, ErrNone) {
			return err
		}
	}
	return ErrNone
}

// Renew extends the lease, or returns an error; after one the lease may still hold until it lapses.
func (s *Slots) Renew(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.row == "" {
		return errors.New("no slot is held")
	}
	began := time.Now()
	version, err := s.write(ctx, s.row, s.Holder, s.version)
	if err != nil {
		return errors.Wrap(err, "renew the slot")
	}
	s.version, s.renewed = version, began
	return nil
}

// Valid reports whether the lease holds for at least the given time.
func (s *Slots) Valid(remaining time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.row != "" && time.Since(s.renewed)+remaining < s.Lease
}

// Release gives the slot back; when the platform can't be reached the lease lapses by itself.
func (s *Slots) Release(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.row == "" {
		return
	}
	_, _ = s.Table.Put(ctx, s.row, []byte(free), s.version)
	s.row = ""
}

// Fence returns a new fencing number for an endpoint, higher than all before it.
func (s *Slots) Fence(ctx context.Context, endpoint string) (int64, error) {
	row := "fence/" + endpoint
	_, version, err := s.Table.Get(ctx, row)
	if err != nil {
		return 0, errors.Wrap(err, "read the fencing number")
	}
	return s.write(ctx, row, s.Holder, version)
}

func (s *Slots) try(ctx context.Context, row string) error {
	value, version, err := s.Table.Get(ctx, row)
	if err != nil {
		return errors.Wrap(err, "read a slot")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holder := string(value)
	if holder != free && holder != s.Holder && !s.lapsed(row, version) {
		return ErrNone
	}
	began := time.Now()
	next, err := s.write(ctx, row, s.Holder, version)
	if errors.Is(err, railtable.ErrConflict) {
		return ErrNone
	}
	if err != nil {
		return errors.Wrap(err, "take a slot")
	}
	s.row, s.version, s.renewed = row, next, began
	return nil
}

// lapsed reports whether a row has stood unchanged for the lease, by this process's own clock.
func (s *Slots) lapsed(row string, version int64) bool {
	if s.seen == nil {
		s.seen = map[string]sighting{}
	}
	last, ok := s.seen[row]
	if !ok || last.version != version {
		s.seen[row] = sighting{version: version, at: time.Now()}
		return false
	}
	return time.Since(last.at) > s.Lease
}

// write writes a row and reads it back when the answer was lost.
func (s *Slots) write(ctx context.Context, row, value string, version int64) (int64, error) {
	next, err := s.Table.Put(ctx, row, []byte(value), version)
	if !errors.Is(err, railtable.ErrUnknown) {
		return next, err
	}
	now, at, readErr := s.Table.Get(ctx, row)
	if readErr == nil && at > version && string(now) == value { // Nobody else writes this holder's name.
		return at, nil
	}
	return 0, err
}
