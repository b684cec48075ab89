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
	callTimeout    = 2 * time.Second
	firstPause     = 20 * time.Millisecond
	longestPause   = 2 * time.Second
	outcomeTimeout = 10 * time.Minute
	// maxAnswer is the longest answer that is kept; with what stands beside it, it fits the platform's row of 64 KiB.
	maxAnswer = 60 << 10
)

var (
	// ErrHeld means that another claim holds the key; the row says whose.
	ErrHeld = errors.New("another request holds the key")
	// ErrUnavailable means that the claim could not be made, so that the request must not run.
	ErrUnavailable = errors.New("the key can't be claimed now")
)

// Claimer claims keys for one incarnation of an agent; its fields are set before its first use.
type Claimer struct {
	Table railtable.Table
	// Holder, Address and Incarnation say whom others ask about a claim.
	Holder, Address, Incarnation string
	Log                          *slog.Logger

	once    sync.Once
	ctx     context.Context
	cancel  context.CancelFunc
	pending sync.WaitGroup
}

// RowName returns the name of the row for a customer's key at a service.
func RowName(service, customer, key string) string {
	sum := blake3.Sum256([]byte(service + "\x00" + customer + "\x00" + key))
	return rowPrefix + hex.EncodeToString(sum[:])
}

// Claim claims a row for a request and returns the row's version; with ErrHeld it returns the standing claim instead.
//
// A write whose answer was lost is read back before anything else is done, since it may have taken effect.
func (c *Claimer) Claim(ctx context.Context, row, requestID, bodyDigest string, over int64) (int64, *railproto.Claim, error) {
	mine := &railproto.Claim{Holder: c.Holder, Address: c.Address, Incarnation: c.Incarnation, RequestId: requestID, BodyDigest: bodyDigest}
	value, err := proto.Marshal(mine)
	if err != nil {
		return 0, nil, errors.Wrap(err, "encode the claim")
	}
	pauses := newPauses()
	for {
		version, err := c.put(ctx, row, value, over)
		if err == nil {
			return version, nil, nil
		}
		if !errors.Is(err, railtable.ErrRefused) {
			version, standing, err := c.read(ctx, row)
			switch {
			case err != nil || version <= over:
			case standing.GetRequestId() == requestID && standing.GetIncarnation() == c.Incarnation && !standing.GetDone():
				return version, nil, nil
			default:
				return version, standing, ErrHeld
			}
		}
		if !railtimer.Sleep(ctx, pauses.NextBackOff()) {
			return 0, nil, ErrUnavailable
		}
	}
}

// WriteOutcome writes a claimed request's outcome behind the answer and retries until it is written.
func (c *Claimer) WriteOutcome(row string, version int64, requestID, bodyDigest string, status int32, contentType string, answer []byte) {
	omitted := len(answer) > maxAnswer
	if omitted {
		answer = nil
	}
	value, err := proto.Marshal(&railproto.Claim{
		Done: true, Holder: c.Holder, Address: c.Address, Incarnation: c.Incarnation, RequestId: requestID,
		BodyDigest: bodyDigest, Status: status, ContentType: contentType, Answer: answer, AnswerOmitted: omitted,
	})
	if err != nil {
		c.Log.Error("outcome can't be encoded", "row", row, "err", err)
		return
	}
	c.pending.Go(func() { c.finish(row, version, value) })
}

// Close gives up the outcomes that are not written yet, as the end of the process does.
func (c *Claimer) Close() {
	c.init()
	c.cancel()
	c.pending.Wait()
}

// Wait returns when all outcomes have been written or given up.
func (c *Claimer) Wait() {
	c.pending.Wait()
}

func (c *Claimer) init() {
	c.once.Do(func() { c.ctx, c.cancel = context.WithCancel(context.Background()) })
}

func (c *Claimer) finish(row string, version int64, value []byte) {
	c.init()
	ctx, cancel := context.WithTimeout(c.ctx, outcomeTimeout)
	defer cancel()
	pauses := newPauses()
	for {
		_, err := c.put(ctx, row, value, version)
		if err == nil || errors.Is(err, railtable.ErrConflict) {
			return // A conflict means that an earlier attempt took effect: only the holder writes after its claim.
		}
		if !railtimer.Sleep(ctx, pauses.NextBackOff()) {
			c.Log.Error("outcome given up, its key stays claimed", "row", row, "err", err)
			return
		}
	}
}

func (c *Claimer) put(ctx context.Context, row string, value []byte, version int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.Table.Put(ctx, row, value, version)
}

func (c *Claimer) read(ctx context.Context, row string) (int64, *railproto.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, version, err := c.Table.Get(ctx, row)
	if err != nil || version == 0 {
		return 0, nil, err
	}
	standing := &railproto.Claim{}
	if err := proto.Unmarshal(value, standing); err != nil {
		return 0, nil, errors.Wrapf(err, "decode the row %s", row)
	}
	return version, standing, nil
}

func newPauses() *backoff.ExponentialBackOff {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstPause
	pauses.MaxInterval = longestPause
	return pauses
}
