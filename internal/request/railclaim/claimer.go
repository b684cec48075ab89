package railclaim

import (
	"context"
	"encoding/hex"
	"log/slog"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/zeebo/blake3"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	rowPrefix      = "claim/"
	tableTimeout   = 2 * time.Second
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 2 * time.Second
	outcomeTimeout = 10 * time.Minute
	// maxResponseBytes is the size of the largest response that is stored. Together with the other fields of the claim, it fits
	// into a row of the table service, which holds 64 KiB.
	maxResponseBytes = 60 << 10
)

var (
	// ErrHeld means that another request has claimed the key. The row identifies the holder.
	ErrHeld = errors.New("another request holds the key")
	// ErrUnavailable means that the key could not be claimed, so that the request must not run.
	ErrUnavailable = errors.New("the key can't be claimed now")
)

// Claimer claims keys for one incarnation of an agent. Its exported fields must be set before first use. It is safe for concurrent
// use.
type Claimer struct {
	Table railtable.Table
	// Holder, Address and Incarnation identify the agent that others ask about a claim.
	Holder, Address, Incarnation string
	Log                          *slog.Logger

	once   sync.Once
	ctx    context.Context
	cancel context.CancelFunc
	writes sync.WaitGroup
}

// RowName returns the name of the table row for a customer's key at a service.
func RowName(service, customer, key string) string {
	digest := blake3.Sum256([]byte(service + "\x00" + customer + "\x00" + key))
	return rowPrefix + hex.EncodeToString(digest[:])
}

// Claim claims a row for a request and returns the row's new version. expectedVersion is the version of the row that may be
// overwritten, or 0 for a new row. With ErrHeld, Claim returns the version and the existing claim. It returns ErrUnavailable if ctx
// is done first.
//
// A write whose response was lost is read back before it is retried, because it may have taken effect.
func (c *Claimer) Claim(ctx context.Context, row, requestID, bodyDigest string, expectedVersion int64) (int64, *railproto.Claim, error) {
	claim := &railproto.Claim{Holder: c.Holder, Address: c.Address, Incarnation: c.Incarnation, RequestId: requestID, BodyDigest: bodyDigest}
	value, err := proto.Marshal(claim)
	if err != nil {
		return 0, nil, errors.Wrap(err, "encode the claim")
	}
	retryBackoff := newRetryBackoff()
	for {
		version, err := c.put(ctx, row, value, expectedVersion)
		if err == nil {
			return version, nil, nil
		}
		if !errors.Is(err, railtable.ErrRefused) {
			version, existing, err := c.read(ctx, row)
			switch {
			case err != nil || version <= expectedVersion:
			case existing.GetRequestId() == requestID && existing.GetIncarnation() == c.Incarnation && !existing.GetDone():
				return version, nil, nil
			default:
				return version, existing, ErrHeld
			}
		}
		if !railtimer.Sleep(ctx, retryBackoff.NextBackOff()) {
			return 0, nil, ErrUnavailable
		}
	}
}

// WriteOutcome writes the outcome of a claimed request in the background, so that the response isn't delayed. It retries for up to
// 10 minutes. A response that is too large for a row is omitted.
func (c *Claimer) WriteOutcome(row string, version int64, requestID, bodyDigest string, status int32, contentType string, response []byte) {
	omitted := len(response) > maxResponseBytes
	if omitted {
		response = nil
	}
	value, err := proto.Marshal(&railproto.Claim{
		Done: true, Holder: c.Holder, Address: c.Address, Incarnation: c.Incarnation, RequestId: requestID,
		BodyDigest: bodyDigest, Status: status, ContentType: contentType, Answer: response, AnswerOmitted: omitted,
	})
	if err != nil {
		c.Log.Error("encoding the outcome of a claimed request failed", "row", row, "err", err)
		return
	}
	c.writes.Go(func() { c.retryWrite(row, version, value) })
}

// Close abandons the outcomes that aren't written yet, as if the process had ended.
func (c *Claimer) Close() {
	c.initContext()
	c.cancel()
	c.writes.Wait()
}

// Wait waits until all outcomes have been written or abandoned.
func (c *Claimer) Wait() {
	c.writes.Wait()
}

func (c *Claimer) initContext() {
	c.once.Do(func() { c.ctx, c.cancel = context.WithCancel(context.Background()) })
}

func (c *Claimer) retryWrite(row string, version int64, value []byte) {
	c.initContext()
	ctx, cancel := context.WithTimeout(c.ctx, outcomeTimeout)
	defer cancel()
	retryBackoff := newRetryBackoff()
	for {
		_, err := c.put(ctx, row, value, version)
		if err == nil || errors.Is(err, railtable.ErrConflict) {
			return // A conflict means that an earlier attempt took effect, because only the holder writes after its claim.
		}
		if !railtimer.Sleep(ctx, retryBackoff.NextBackOff()) {
			c.Log.Error("writing the outcome of a claimed request failed; its key stays claimed", "row", row, "err", err)
			return
		}
	}
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
