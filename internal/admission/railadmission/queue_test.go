package railadmission_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/admission/railadmission"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Guards against requests that wait at an agent that will not admit them any more, and so lose time in which others could run them.
func TestWaitingRequestLearnsAtOnceThatItIsNotAdmitted(t *testing.T) {
	for name, test := range map[string]struct {
		change func(ctrl *railadmission.Controller)
		reason railproto.Reason
	}{
		"the agent drains":       {(*railadmission.Controller).StartDraining, railproto.Reason_REASON_LEAVING},
		"weights are switched":   {func(ctrl *railadmission.Controller) { ctrl.SetSuspended(true) }, railproto.Reason_REASON_NO_WEIGHTS},
		"the engine has ended":   {func(ctrl *railadmission.Controller) { ctrl.SetWeights("", "") }, railproto.Reason_REASON_NO_WEIGHTS},
		"weights are not intact": {(*railadmission.Controller).WithdrawWeights, railproto.Reason_REASON_NO_WEIGHTS},
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				ctrl := newLimitedController(qt.New(t))
				request := &railproto.ExecuteRequest{Incarnation: "i", Service: "chat"}
				for range 2 {
					_, reason := ctrl.TryAdmit(request)
					qt.Assert(t, reason, qt.Equals, railproto.Reason_REASON_UNSPECIFIED)
				}
				reasons := make(chan railproto.Reason, 1)
				go func() {
					_, reason := ctrl.Admit(t.Context(), request)
					reasons <- reason
				}()
				synctest.Wait()
				start := time.Now()
				test.change(ctrl)
				qt.Check(t, <-reasons, qt.Equals, test.reason)
				qt.Check(t, time.Since(start), qt.Equals, time.Duration(0))
			})
		})
	}
}
