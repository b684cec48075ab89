package railfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
)

// Guards against requests on weights that a row shows as complete and that nobody has proven, whatever notices arrive or run out.
func TestOnlyProvenWeightsGetRequests(t *testing.T) {
	const address = "10.0.0.1:1"
	for name, test := range map[string]struct {
		events func(f *railfleet.Fleet)
		want   bool
	}{
		"nothing is proven": {func(*railfleet.Fleet) {}, false},
		"proven":            {func(f *railfleet.Fleet) { f.SetProven(address, 1) }, true},
		"an earlier version is proven": {func(f *railfleet.Fleet) {
			f.SetProven(address, 1)
			i := engine("1")
			i.WeightsVersion = 2
			f.SetInstances([]railinstance.Instance{i})
		}, false},
		"the refusal of a load that takes long runs out": {func(f *railfleet.Fleet) {
			f.SetProven(address, 1)
			f.ApplyNotice(address, 0, 0)
			f.SetProven(address, 0)
			time.Sleep(time.Minute)
			f.SetInstances([]railinstance.Instance{engine("1")})
		}, false},
		"the refusal of a load that never began runs out": {func(f *railfleet.Fleet) {
			f.SetProven(address, 1)
			f.ApplyNotice(address, 0, 0)
			time.Sleep(time.Minute)
			f.SetInstances([]railinstance.Instance{engine("1")})
		}, true},
		"the row of proven weights is late, as while the store is away": {func(f *railfleet.Fleet) {
			i := engine("1")
			i.WeightsVersion = 0
			f.SetInstances([]railinstance.Instance{i})
			f.SetProven(address, 1)
			f.ApplyNotice(address, 1, 0)
			time.Sleep(time.Minute)
			f.SetInstances([]railinstance.Instance{i})
		}, true},
		"the row of proven weights is late, and the notice of them was lost": {func(f *railfleet.Fleet) {
			f.SetProven(address, 2)
			time.Sleep(time.Minute)
			f.SetInstances([]railinstance.Instance{engine("1")})
		}, true},
		"a row that shows no weights is not outdone by a proof that may be older": {func(f *railfleet.Fleet) {
			f.SetProven(address, 2)
			i := engine("1")
			i.WeightsVersion = 0
			f.SetInstances([]railinstance.Instance{i})
		}, false},
		"the refusal of a load is over with the proof of its version, and the notice of its end was lost": {func(f *railfleet.Fleet) {
			f.SetProven(address, 1)
			f.ApplyNotice(address, 0, 0)
			f.SetProven(address, 0)
			f.SetProven(address, 2)
		}, true},
		"a planned change is over with the proof of the new version, and all later notices were lost": {func(f *railfleet.Fleet) {
			f.SetProven(address, 1)
			f.ApplyNotice(address, 1, time.Second)
			time.Sleep(3 * time.Second)
			f.SetProven(address, 2)
		}, true},
		"the refusal of a load goes on while the proof of the earlier version is confirmed": {func(f *railfleet.Fleet) {
			f.SetProven(address, 1)
			f.SetProven(address, 0)
			f.ApplyNotice(address, 0, 0)
			f.SetProven(address, 1)
		}, false},
		"the row of an earlier version arrives after the proof of a load": {func(f *railfleet.Fleet) {
			f.SetProven(address, 2)
			f.SetInstances([]railinstance.Instance{engine("1")})
			i := engine("1")
			i.RowVersion++
			f.SetInstances([]railinstance.Instance{i})
		}, true},
		"the engine leaves the list for a moment": {func(f *railfleet.Fleet) {
			f.SetProven(address, 1)
			f.SetInstances(nil)
			f.SetInstances([]railinstance.Instance{engine("1")})
		}, true},
		"this process has stood still": {func(f *railfleet.Fleet) {
			f.SetProven(address, 1)
			f.Suspended = func() bool { return true }
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				f, req := newFleet(1)
				f.RequireProofs = true
				f.SetInstances([]railinstance.Instance{engine("1")})
				test.events(f)
				_, ok := f.Reserve(req)
				qt.Check(t, ok, qt.Equals, test.want)
			})
		})
	}
}

// Guards against trust in an engine that may have started again since it was last heard of.
func TestFailureOfEndpointIsReported(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(l *railfleet.Lease)
		want []string
	}{
		"it has answered":            {func(l *railfleet.Lease) { l.Done(railfleet.Answered) }, nil},
		"it has rejected":            {func(l *railfleet.Lease) { l.Done(railfleet.Rejected) }, nil},
		"it has other weights":       {func(l *railfleet.Lease) { l.Done(railfleet.Misdirected) }, []string{"10.0.0.1:1"}},
		"it has failed":              {func(l *railfleet.Lease) { l.Done(railfleet.Failed) }, []string{"10.0.0.1:1"}},
		"it is silent":               {func(l *railfleet.Lease) { l.Silent() }, []string{"10.0.0.1:1"}},
		"it was silent, and is done": {func(l *railfleet.Lease) { l.Done(railfleet.Answered); l.Silent() }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var failed []string
			f, req := newFleet(1, engine("1"))
			f.OnFailure = func(address string) { failed = append(failed, address) }
			l, ok := f.Reserve(req)
			qt.Assert(t, ok, qt.IsTrue)
			test.end(l)
			qt.Check(t, failed, qt.DeepEquals, test.want)
		})
	}
}
