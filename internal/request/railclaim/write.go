package railclaim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// maxRewriteDelay spreads the agents' reads after a restore.
	maxRewriteDelay = time.Second
	rewriteWorkers  = 8
)

// errNotWritten means that another attempt to write a record may succeed at once.
var errNotWritten = errors.New("the row is in another state than the one that was to be overwritten")

// writeLost reads the rows of all claims that the store may have lost, and writes again what it has lost.
func (c *Claimer) writeLost(ctx context.Context) {
	if len(c.journal.outdated(c.Era)) == 0 || !railtimer.Sleep(ctx, rand.N(maxRewriteDelay)) {
		return
	}
	c.rewriting.Store(true)
	defer c.rewriting.Store(false)
	records := c.journal.outdated(c.Era)
	c.Log.Info("the store was restored; writing lost claims again", "claims", len(records))
	queue := make(chan *record, len(records))
	for _, r := range records {
		queue <- r
	}
	close(queue)
	var workers sync.WaitGroup
	defer workers.Wait()
	for range rewriteWorkers {
		workers.Go(func() {
			for r := range queue {
				c.writeRecord(ctx, r)
			}
		})
	}
}

// writeRecord writes a claim or its outcome until the row holds it, for up to 10 minutes.
func (c *Claimer) writeRecord(ctx context.Context, r *record) {
	if !c.journal.beginWriting(r) {
		return // The goroutine that writes it reads the outcome before each attempt.
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	retryBackoff := newRetryBackoff()
	for c.journal.contains(r) {
		err := c.tryWriteContained(ctx, r)
		if err == nil {
			return
		}
		if !railtimer.Sleep(ctx, retryBackoff.NextBackOff()) {
			c.Log.Error("writing the outcome of a claimed request failed; its key stays claimed", "row", r.row, "err", err)
			c.journal.remove(r.row)
			return
		}
	}
}

// tryWriteContained is tryWriteRecord, which returns a panic as an error: the key stays claimed, and the record is tried again.
func (c *Claimer) tryWriteContained(ctx context.Context, r *record) (err error) {
	defer func() {
		if p := railpanic.Recovered(recover(), c.Log, "claim record", "row", r.row); p != nil {
			err = p
		}
	}()
	return c.tryWriteRecord(ctx, r)
}

// tryWriteRecord tries to write a record once. It reads the row first if the version that it knows is of an earlier era, and after a write
// that may have failed.
func (c *Claimer) tryWriteRecord(ctx context.Context, r *record) error {
	claim, version := c.journal.read(r)
	err := railtable.ErrConflict
	if !c.Era.IsOutdated(version) {
		version, err = c.putClaim(ctx, r.row, claim, version)
	}
	switch {
	case err == nil:
		return c.journal.setWritten(r, claim, version)
	case errors.Is(err, railtable.ErrRefused):
		return err
	}
	version, existing, err := c.read(ctx, r.row)
	switch {
	case err != nil:
		return err
	case version != 0 && !isSameClaim(existing, claim) && (existing.GetDone() || c.Unsettled() == 0):
		c.Log.Error("another request has taken a key whose claim was lost", "row", r.row, "request", claim.GetRequestId(), "other", existing.GetRequestId())
		c.journal.remove(r.row)
		return nil
	case version != 0 && isSameClaim(existing, claim) && (existing.GetDone() || !claim.GetDone()):
		return c.journal.setWritten(r, claim, version)
	}
	// The row is lost, or holds the claim without its outcome, or one that was made in this era and whose request will not run.
	c.journal.setVersion(r, version)
	return errNotWritten
}

func (c *Claimer) putClaim(ctx context.Context, row string, claim *railproto.Claim, version int64) (int64, error) {
	value, err := proto.Marshal(claim)
	if err != nil {
		return 0, errors.Wrap(err, "encode the claim")
	}
	return c.put(ctx, row, value, version)
}
