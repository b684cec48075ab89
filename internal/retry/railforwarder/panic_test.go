package railforwarder_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/limit/railquarantine"
	"github.com/fulmarrail/fulmarrail/internal/request/railrequest"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/retry/railbudget"
	"github.com/fulmarrail/fulmarrail/internal/retry/railforwarder"
	"github.com/fulmarrail/fulmarrail/internal/routing/railcandidate"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Guards against a panic in one request's attempt that ends the entry's process, is taken for a request that has not run, is repeated at each endpoint,
// or keeps what the attempt holds.
func TestPanicInAttemptEndsItsRequestOnly(t *testing.T) {
	id := "r" + railrequest.AttemptSeparator + "0"
	frames := []*railproto.Frame{
		{RequestId: id, Kind: railproto.FrameKind_FRAME_KIND_ACCEPTED},
		{RequestId: id, Sequence: 1, Kind: railproto.FrameKind_FRAME_KIND_DATA},
		{RequestId: id, Sequence: 2, Kind: railproto.FrameKind_FRAME_KIND_END, Count: 1},
	}
	for step, verdict := range map[string]railverdict.Verdict{
		"acquire": railverdict.NotRun, "revision": railverdict.NotRun, "load": railverdict.MayHaveRun, "deliver": railverdict.MayHaveRun,
		"decision": railverdict.MayHaveRun,
	} {
		t.Run(step, func(t *testing.T) {
			panicAt := func(at string) {
				if at == step {
					panic("at " + at)
				}
			}
			acquired, decided := 0, 0
			f := &railforwarder.Forwarder{
				Acquire: func(context.Context, railrequest.Request, bool) (railcandidate.Candidate, error) {
					panicAt("acquire")
					acquired++
					return railcandidate.Candidate{}, nil
				},
				Connect:    func(context.Context, string) railproto.DRPCAgentClient { return &fakeAgent{frames: frames} },
				UpdateLoad: func(string, string, *railproto.Load) { panicAt("load") }, Suspect: func(string, string) {},
				RecordDecision: func(string) {
					decided++
					panicAt("decision")
				},
				RecordCompletion: func(int, time.Duration) {},
				Revision: func() uint64 {
					panicAt("revision")
					return 1
				},
				Budget: &railbudget.Budget{}, RetryShare: func() float64 { return 0 }, Log: slog.New(slog.DiscardHandler),
				Quarantine: &railquarantine.Quarantine{Log: slog.New(slog.DiscardHandler)},
			}
			req := railrequest.Request{ID: "r", Deadline: time.Now().Add(time.Minute), Idempotent: true, SharedParts: []string{"a"}}
			got, _, err := f.Forward(t.Context(), req, func(string, *railproto.Frame) error {
				panicAt("deliver")
				return nil
			})
			qt.Check(t, err, qt.ErrorMatches, "the entry has failed on this request")
			qt.Check(t, got, qt.Equals, verdict)
			qt.Check(t, acquired <= 1, qt.IsTrue)
			qt.Check(t, decided, qt.Equals, acquired)
		})
	}
}
