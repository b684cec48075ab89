package railfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
)

// Guards against an endpoint that never gets a request again after one late start, e.g. because this VM was suspended meanwhile: without a
// request, nothing shows that the endpoint is as fast as before.
func TestEndpointGetsRequestsAgainAfterOneLateStart(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		f, req := newFleet(1, engine("1"))
		l, ok := f.Reserve(req)
		qt.Assert(t, ok, qt.IsTrue)
		time.Sleep(2500 * time.Millisecond)
		l.Started()
		l.Done(railfleet.Answered)
		again := false
		for start := time.Now(); !again && time.Since(start) < time.Minute; time.Sleep(100 * time.Millisecond) {
			_, again = f.Reserve(req)
		}
		qt.Check(t, again, qt.IsTrue, qt.Commentf("no request for a minute"))
	})
}
