package railpeersource

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/store/railreplica"
	"github.com/fulmarrail/fulmarrail/internal/store/railversion"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// maxRowBytes is the largest size of a decompressed value.
	maxRowBytes = 8 << 20
	// maxAsked is the number of entries that are asked for one read.
	maxAsked = 3
)

var (
	errNoPeer      = errors.New("no other entry is known")
	errNotAdvanced = errors.New("the entry knows nothing newer than what was read before")
	errStaleEra    = errors.New("the entry has not noticed yet that the store was restored")
)

// Source reads the replicas of other entries. Its exported fields must be set before its first use. It is safe for concurrent use.
type Source struct {
	// Addresses returns the addresses of the other entries.
	Addresses func() []string
	// Request calls the entry at an address.
	Request func(ctx context.Context, address string, req *railproto.ReplicaRequest) (*railproto.ReplicaReply, error)
	// Timeout is the timeout of each request.
	Timeout time.Duration
	// Now returns the time since boot, including time in suspend.
	Now func() time.Duration

	mu sync.Mutex
	// last is the address of the entry that has answered last, or empty.
	last string
	// version and storeMillis are the store's version and clock in the newest reply.
	version, storeMillis int64
}

// Table returns all rows of a table as an entry knows them.
func (s *Source) Table(ctx context.Context, table string) (railreplica.Page, error) {
	page, _, err := s.read(ctx, table, 0)
	return page, err
}

// Changes returns the rows that have changed after a version as an entry knows them, without waiting for a change. It returns
// railreplica.ErrHistoryGone if the entry does not know which ones these are.
func (s *Source) Changes(ctx context.Context, table string, after int64, _ time.Duration) (railreplica.Page, error) {
	page, whole, err := s.read(ctx, table, after)
	if err == nil && whole {
		err = railreplica.ErrHistoryGone
	}
	return page, err
}

// read asks some entries, first the one that has answered last, until one of them knows something new.
func (s *Source) read(ctx context.Context, table string, after int64) (railreplica.Page, bool, error) {
	err := errNoPeer
	for _, address := range s.candidates() {
		var page railreplica.Page
		var whole bool
		if page, whole, err = s.ask(ctx, address, table, after); err == nil {
			s.setLast(address)
			return page, whole, nil
		}
		err = errors.Wrapf(err, "read table %s from the entry at %s", table, address)
		if ctx.Err() != nil {
			break
		}
	}
	return railreplica.Page{}, false, err
}

func (s *Source) ask(ctx context.Context, address, table string, after int64) (railreplica.Page, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	start := s.Now()
	reply, err := s.Request(ctx, address, &railproto.ReplicaRequest{Table: table, After: after})
	if err != nil {
		return railreplica.Page{}, false, err
	}
	if err := s.check(reply, after); err != nil {
		return railreplica.Page{}, false, err
	}
	page, err := decode(reply, start)
	return page, reply.GetWhole(), err
}

// candidates returns the entries to ask: the one that has answered last, then others at random.
func (s *Source) candidates() []string {
	addresses := slices.Clone(s.Addresses())
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(addresses, s.last); i > 0 {
		addresses[0], addresses[i] = addresses[i], addresses[0]
	}
	return addresses[:min(len(addresses), maxAsked)]
}

// check returns an error if a reply tells nothing new. The reply to a request for the whole table may be the same as the one before.
func (s *Source) check(reply *railproto.ReplicaReply, after int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := railversion.Era(reply.GetVersion())
	switch {
	case after != 0 && era < railversion.Era(after):
		return errStaleEra
	case after != 0 && era == railversion.Era(s.version) && reply.GetStoreMillis() <= s.storeMillis:
		return errNotAdvanced
	}
	s.version, s.storeMillis = reply.GetVersion(), reply.GetStoreMillis()
	return nil
}

func (s *Source) setLast(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = address
}

// decode returns the page of a reply to a request that was sent at a local time. The reply's age counts from then, since it may have been
// made at once.
func decode(reply *railproto.ReplicaReply, start time.Duration) (railreplica.Page, error) {
	page := railreplica.Page{
		Version: reply.GetVersion(), Now: time.Duration(reply.GetStoreMillis()) * time.Millisecond,
		CurrentAt: start - time.Duration(reply.GetAgeMillis())*time.Millisecond,
	}
	for _, row := range reply.GetRows() {
		value := row.GetValue()
		if row.GetCompressed() {
			var err error
			if value, err = decompress(value); err != nil {
				return railreplica.Page{}, errors.Wrapf(err, "decompress row %s", row.GetKey())
			}
		}
		page.Rows = append(page.Rows, railreplica.Row{Key: row.GetKey(), Value: value, Version: row.GetVersion(), Removed: row.GetRemoved()})
	}
	return page, nil
}

func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	value, err := io.ReadAll(io.LimitReader(r, maxRowBytes+1))
	if err == nil && len(value) > maxRowBytes {
		err = errors.Newf("it has more than %d bytes", maxRowBytes)
	}
	return value, err
}
