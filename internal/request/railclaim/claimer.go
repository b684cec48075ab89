package railclaim

import (
	"context"
	"encoding/hex"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/zeebo/blake3"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/store/railera"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	rowPrefix      = "claim/"
	tableTimeout   = 2 * time.Second
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 2 * time.Second
	outcomeTimeout = 10 * time.Minute
	// settleTime is the time after the beginning of an era for which no key is claimed. It leaves all agents the time to hear of the era,
	// and to write their lost claims again at the platform's rate of writes.
	settleTime = 15 * time.Second
	// maxResponseBytes is the size of the largest response that is stored. Together with the other fields of the claim, it fits
	// into a row of the table service, which holds 64 KiB.
	maxResponseBytes = 60 << 10
)

var (
	// ErrHeld means that another request has claimed the key. The row identifies the holder.
	ErrHeld = errors.New("another request holds the key")
	// ErrUnavailable means that the key could not be claimed, so that the request must not run. It may have been claimed in the seconds that
	// a restored store has lost.
	ErrUnavailable = errors.New("the key can't be claimed now")

	errRowLost = errors.New("the row was lost when the store was restored")
)

// Claimer claims keys for one incarnation of an agent. Its exported fields must be set before first use. It is safe for concurrent
// use.
type Claimer struct {
	// Table is the table service, watched by Era.
	Table railtable.Table
	Era   *railera.Tracker
	// Holder, Address and Incarnation identify the agent that others ask about a claim.
	Holder, Address, Incarnation string
	Log                          *slog.Logger

	once   sync.Once
	ctx    context.Context
	cancel context.CancelFunc
	writes sync.WaitGroup

	journal   journal
	rewriting atomic.Bool
}

// RowName returns the name of the table row for a customer's key at a service.
func RowName(service, customer, key string) string {
	digest := blake3.Sum256([]byte(service + "\x00" + customer + "\x00" + key))
	return rowPrefix + hex.EncodeToString(digest[:])
}

// Claim claims a row for a request and returns the row's new version. expectedVersion is the version of the row that may be
// overwritten, or 0 for a new row. With ErrHeld, Claim returns the version and the existing claim. It returns ErrUnavailable if ctx
// is done first, and at once while Unsettled is not 0.
//
// A write whose response was lost is read back before it is retried, because it may have taken effect.
func (c *Claimer) Claim(ctx context.Context, row, requestID, bodyDigest string, expectedVersion int64) (int64, *railproto.Claim, error) {
	claim := &railproto.Claim{Holder: c.Holder, Address: c.Address, Incarnation: c.Incarnation, RequestId: requestID, BodyDigest: bodyDigest}
	value, err := proto.Marshal(claim)
	if err != nil {
		return 0, nil, errors.Wrap(err, "encode the claim")
	}
	retryBackoff := newRetryBackoff()
	for c.Unsettled() == 0 {
		version, existing, err := c.tryClaim(ctx, row, value, claim, expectedVersion)
		switch {
		case errors.Is(err, ErrHeld):
			return version, existing, err
		case err == nil && c.journal.add(row, claim, version, c.Era):
			return version, nil, nil
		case err == nil:
			return 0, nil, ErrUnavailable // The claim was the first call of a new era, or has just been lost.
		case errors.Is(err, errRowLost):
			expectedVersion = 0
		}
		if !railtimer.Sleep(ctx, retryBackoff.NextBackOff()) {
			break
		}
	}
	return 0, nil, ErrUnavailable
}

// Unsettled returns the time for which no key can be claimed yet since the store was restored.
func (c *Claimer) Unsettled() time.Duration {
	return c.Era.Remaining(settleTime)
}

// Release forgets a claim whose request has not run and never will, so that its row may be lost.
func (c *Claimer) Release(row string) {
	c.journal.remove(row)
}

// tryClaim tries to write a claim once. It returns errRowLost if the row that it may overwrite does not exist.
func (c *Claimer) tryClaim(ctx context.Context, row string, value []byte, claim *railproto.Claim, expectedVersion int64) (int64, *railproto.Claim, error) {
	version, err := c.put(ctx, row, value, expectedVersion)
	if err == nil || errors.Is(err, railtable.ErrRefused) {
		return version, nil, err
	}
	version, existing, readErr := c.read(ctx, row)
	switch {
	case readErr != nil:
		return 0, nil, readErr
	case version == 0 && expectedVersion != 0:
		return 0, nil, errRowLost
	case version <= expectedVersion:
		return 0, nil, err
	case isSameClaim(existing, claim) && !existing.GetDone():
		return version, nil, nil
	default:
		return version, existing, ErrHeld
	}
}

// WriteOutcome writes the outcome of a claimed request in the background, so that the response isn't delayed. It retries for up to
// 10 minutes. A response that is too large for a row is omitted.
func (c *Claimer) WriteOutcome(row string, version int64, requestID, bodyDigest string, status int32, contentType string, response []byte) {
	omitted := len(response) > maxResponseBytes
	if omitted {
		response = nil
	}
	outcome := &railproto.Claim{
		Done: true, Holder: c.Holder, Address: c.Address, Incarnation: c.Incarnation, RequestId: requestID,
		BodyDigest: bodyDigest, Status: status, ContentType: contentType, Answer: response, AnswerOmitted: omitted,
	}
	r := c.journal.setOutcome(row, outcome, version)
	c.writes.Go(func() { c.writeRecord(c.context(), r) })
}

// Run writes again, in each new era, the claims and outcomes that the store has lost, until ctx is done.
func (c *Claimer) Run(ctx context.Context) {
	for {
		changed := c.Era.Changed()
		c.writeLost(ctx)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Close abandons the outcomes that aren't written yet, as if the process had ended.
func (c *Claimer) Close() {
	c.context()
	c.cancel()
	c.writes.Wait()
}

// Rewriting reports whether claims that the store has lost are being written again.
func (c *Claimer) Rewriting() bool {
	return c.rewriting.Load()
}

// Wait waits until all outcomes have been written or abandoned.
func (c *Claimer) Wait() {
	c.writes.Wait()
}

func (c *Claimer) context() context.Context {
	c.once.Do(func() { c.ctx, c.cancel = context.WithCancel(context.Background()) })
	return c.ctx
}

func (c *Claimer) put(ctx context.Context, row string, value []byte, version int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return c.Table.Put(ctx, row, value, version)
}

func (c *Claimer) read(ctx context.Context, row string) (int64, *railproto.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	value, version, err := c.Table.Get(ctx, row)
	if err != nil || version == 0 {
		return 0, nil, err
	}
	existing := &railproto.Claim{}
	if err := proto.Unmarshal(value, existing); err != nil {
		return 0, nil, errors.Wrapf(err, "decode the row %s", row)
	}
	return version, existing, nil
}

func newRetryBackoff() *backoff.ExponentialBackOff {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = initialBackoff
	retryBackoff.MaxInterval = maxBackoff
	return retryBackoff
}
