package railslots

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/store/railera"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
)

// noHolder is the value of a free slot's row.
const noHolder = ""

// ErrNoFreeSlot is returned by Acquire if all slots are held by others, or may be since the store was restored, and by Renew if another
// holder has the slot.
var ErrNoFreeSlot = errors.New("no free slot")

// Slots leases one of a bounded number of slots for one holder. Each slot is a row of Table. Its fields must be set before its
// first use.
type Slots struct {
	// Table is the table service, watched by Era.
	Table railtable.Table
	Era   *railera.Tracker
	// Holder identifies this incarnation of the agent.
	Holder string
	// Lease is the time after which others may take a slot whose row has not changed.
	Lease time.Duration

	mu sync.Mutex
	// row is the row of the slot held, or empty, version its version and renewedAt the time before its last write.
	row       string
	version   int64
	renewedAt time.Time
	// observed holds the observations of other holders' rows.
	observed map[string]observation
}

// observation is a version of a row and the local time at which it was first read.
type observation struct {
	version int64
	at      time.Time
}

// Acquire acquires one of the n slots of a group. It returns ErrNoFreeSlot if all are held by others, or the table's error.
func (s *Slots) Acquire(ctx context.Context, group string, n int) error {
	for i := range n {
		err := s.tryAcquire(ctx, fmt.Sprintf("slot/%s/%d", group, i))
		if err == nil {
			return nil
		}
		if !errors.Is(err, ErrNoFreeSlot) {
			return err
		}
	}
	return ErrNoFreeSlot
}

// Renew extends the lease, or takes the slot again if the store was restored and has lost that it is held. It returns ErrNoFreeSlot if
// another holder has the slot, which is then no longer held. After another error the lease may still be valid until it expires.
func (s *Slots) Renew(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.row == "" {
		return errors.New("no slot is held")
	}
	began := time.Now()
	version, err := s.write(ctx, s.row, s.Holder, s.version)
	if errors.Is(err, railtable.ErrConflict) {
		version, err = s.retake(ctx)
	}
	if err != nil {
		return errors.Wrap(err, "renew the slot")
	}
	s.version, s.renewedAt = version, began
	return nil
}

// Valid reports whether the lease is valid for at least the given time.
func (s *Slots) Valid(remaining time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.row != "" && time.Since(s.renewedAt)+remaining < s.Lease
}

// Release frees the slot, if one is held. Errors are ignored: the lease expires if the table can't be reached.
func (s *Slots) Release(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.row == "" {
		return
	}
	_, _ = s.Table.Put(ctx, s.row, []byte(noHolder), s.version)
	s.row = ""
}

// NextFencingToken returns a fencing token for an endpoint that is higher than all earlier ones, or the table's error.
func (s *Slots) NextFencingToken(ctx context.Context, endpoint string) (int64, error) {
	row := "fence/" + endpoint
	_, version, err := s.Table.Get(ctx, row)
	if err != nil {
		return 0, errors.Wrap(err, "read the fencing token")
	}
	return s.write(ctx, row, s.Holder, version)
}

// tryAcquire acquires the slot of one row. It returns ErrNoFreeSlot if another holder has the slot or takes it first.
func (s *Slots) tryAcquire(ctx context.Context, row string) error {
	value, version, err := s.Table.Get(ctx, row)
	if err != nil {
		return errors.Wrap(err, "read a slot")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holder := string(value)
	free := holder == s.Holder || holder == noHolder || s.expired(row, version)
	if !free || (holder != s.Holder && s.mayBeLost()) {
		return ErrNoFreeSlot
	}
	began := time.Now()
	newVersion, err := s.write(ctx, row, s.Holder, version)
	switch {
	case errors.Is(err, railtable.ErrConflict):
		return ErrNoFreeSlot
	case err != nil:
		return errors.Wrap(err, "acquire a slot")
	case holder != s.Holder && s.mayBeLost(): // The response to the write was the first one of a new era.
		_, err = s.Table.Put(ctx, row, []byte(noHolder), newVersion)
		return errors.CombineErrors(ErrNoFreeSlot, err)
	}
	s.row, s.version, s.renewedAt = row, newVersion, began
	return nil
}

// retake writes the row of the held slot again unless another holder has it.
func (s *Slots) retake(ctx context.Context) (int64, error) {
	value, version, err := s.Table.Get(ctx, s.row)
	if err != nil {
		return 0, err
	}
	if holder := string(value); holder != noHolder && holder != s.Holder {
		s.row = ""
		return 0, errors.Wrapf(ErrNoFreeSlot, "%s has it", holder)
	}
	return s.write(ctx, s.row, s.Holder, version)
}

// mayBeLost reports whether the store may have lost a row whose holder has not renewed its lease in the present era yet.
func (s *Slots) mayBeLost() bool {
	return s.Era.Remaining(s.Lease) > 0
}

// expired reports whether a row has not changed for longer than the lease, measured by the local clock.
func (s *Slots) expired(row string, version int64) bool {
	if s.observed == nil {
		s.observed = map[string]observation{}
	}
	last, ok := s.observed[row]
	if !ok || last.version != version {
		s.observed[row] = observation{version: version, at: time.Now()}
		return false
	}
	return time.Since(last.at) > s.Lease
}

// write writes a row and returns its new version. If the outcome of the write is unknown, it reads the row to find out whether the
// write succeeded.
func (s *Slots) write(ctx context.Context, row, value string, version int64) (int64, error) {
	newVersion, err := s.Table.Put(ctx, row, []byte(value), version)
	if !errors.Is(err, railtable.ErrUnknown) {
		return newVersion, err
	}
	currentValue, currentVersion, readErr := s.Table.Get(ctx, row)
	if readErr == nil && currentVersion > version && string(currentValue) == value { // No other process writes this holder's name.
		return currentVersion, nil
	}
	return 0, err
}
