package railexecutor_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/rollout/raildigestset"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// engineStub answers each request with a part from the weights with the given digest, then waits until the request is canceled or may end.
type engineStub struct {
	railendpoint.Endpoint
	digest string
	end    chan struct{}
}

func (e *engineStub) Run(ctx context.Context, _ *railproto.ExecuteRequest, emit func(*railproto.Frame)) (railverdict.Verdict, error) {
	emit(&railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_DATA, Data: []byte("part"), WeightsDigest: e.digest})
	select {
	case <-e.end:
	case <-ctx.Done():
		return railverdict.MayHaveRun, ctx.Err()
	}
	emit(&railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_END, Count: 1, Status: 200, WeightsDigest: e.digest})
	return railverdict.Ran, nil
}

// Guards against an answer from corrupt weights that the engine has loaded since the agent last read which weights it serves.
func TestAnswerFromUnknownWeightsIsStoppedBeforeItsFirstPart(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		e := newExecutor(t, nil)
		e.Endpoint = &engineStub{digest: "corrupt"}
		e.Intact = &raildigestset.Set{}
		e.Intact.Add("intact")
		e.Admission.SetWeights("intact", "engine")
		var frames []*railproto.Frame
		err := e.Execute(t.Context(), &railproto.ExecuteRequest{
			RequestId: "r1", Incarnation: "i", Service: "orders", Idempotent: true, TimeoutMillis: 10_000,
		}, func(f *railproto.Frame) error {
			frames = append(frames, f)
			return nil
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, frames, qt.HasLen, 2) // Accepted and aborted.
		qt.Check(t, frames[1].GetKind(), qt.Equals, railproto.FrameKind_FRAME_KIND_ABORTED)
		qt.Check(t, frames[1].GetReason(), qt.Equals, railproto.Reason_REASON_NO_WEIGHTS)
		qt.Check(t, frames[1].GetMayHaveRun(), qt.IsTrue)
		qt.Check(t, e.Admission.Weights(), qt.Equals, "")
	})
}

func TestAnswerFromIntactWeightsIsPassedOn(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		e := newExecutor(t, nil)
		end := make(chan struct{})
		close(end)
		e.Endpoint = &engineStub{digest: "intact", end: end}
		e.Intact = &raildigestset.Set{}
		e.Intact.Add("intact")
		qt.Check(t, execute(t, e, "r1", "/x", "").GetKind(), qt.Equals, railproto.FrameKind_FRAME_KIND_END)
	})
}
