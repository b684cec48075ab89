package railadmission_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/admission/railadmission"
	"github.com/fulmarrail/fulmarrail/internal/config/railfile"
	"github.com/fulmarrail/fulmarrail/internal/config/railfolder"
	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
	"github.com/fulmarrail/fulmarrail/internal/config/railrevisioncache"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/limit/raillimiter"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const baseConfig = "[origin main]\nregion = a\n[service chat]\nkind = engine\nversion = v1\ncoldLimit = 2\n[zone a]\nregion = a\n"

func newController(c *qt.C, content string) *railadmission.Controller {
	folder := railfolder.Folder{Stamp: 1}
	folder = folder.WithFile(railfile.File{Name: "10.ini", Stamp: 1, Content: content})
	revision, _, err := railrevision.Revision{}.Next(folder)
	c.Assert(err, qt.IsNil)
	cache := &railrevisioncache.Cache{}
	cache.Adopt(revision)
	ctrl := &railadmission.Controller{
		Incarnation: "i", Service: "chat", Zone: "a", Config: cache,
		Limiter: &raillimiter.Limiter{ColdLimit: 2, MaxLimit: 8, FirstTokenTarget: time.Second},
	}
	ctrl.SetWeights("digest", "engine")
	return ctrl
}

func TestControllerChecksItsOwnStateForEachRequest(t *testing.T) {
	request := &railproto.ExecuteRequest{Incarnation: "i", Service: "chat", Revision: 0}
	for _, test := range []struct {
		name    string
		content string
		request *railproto.ExecuteRequest
		setup   func(*railadmission.Controller)
		want    railproto.Reason
	}{
		{"admits", baseConfig, request, func(*railadmission.Controller) {}, railproto.Reason_REASON_UNSPECIFIED},
		{"zone taken out", baseConfig + "state = out\n", request, func(*railadmission.Controller) {}, railproto.Reason_REASON_ZONE_OUT},
		{"leaving", baseConfig, request, (*railadmission.Controller).StartDraining, railproto.Reason_REASON_LEAVING},
		{"no complete weights", baseConfig, request, func(ctrl *railadmission.Controller) { ctrl.SetWeights("", "engine") }, railproto.Reason_REASON_NO_WEIGHTS},
		{"switch of weights", baseConfig, request, func(ctrl *railadmission.Controller) { ctrl.SetSuspended(true) }, railproto.Reason_REASON_NO_WEIGHTS},
		{
			"another incarnation", baseConfig,
			&railproto.ExecuteRequest{Incarnation: "j", Service: "chat"},
			func(*railadmission.Controller) {}, railproto.Reason_REASON_WRONG_INCARNATION,
		},
		{
			"another service", baseConfig,
			&railproto.ExecuteRequest{Incarnation: "i", Service: "print"},
			func(*railadmission.Controller) {}, railproto.Reason_REASON_UNKNOWN_SERVICE,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ctrl := newController(c, test.content)
			test.setup(ctrl)
			c.Check(ctrl.Check(test.request), qt.Equals, test.want)
		})
	}
}

func TestControllerReturnsToColdLimitAfterColdStart(t *testing.T) {
	c := qt.New(t)
	request := &railproto.ExecuteRequest{Incarnation: "i", Service: "chat"}
	ctrl := newController(c, baseConfig)
	tryAdmit := func() (int, bool) {
		inFlight, reason := ctrl.TryAdmit(request)
		return inFlight, reason == railproto.Reason_REASON_UNSPECIFIED
	}
	warmUp := func() {
		for range 100 {
			inFlight := 0
			for n, ok := tryAdmit(); ok; n, ok = tryAdmit() {
				inFlight = n
			}
			ctrl.Release(inFlight, time.Millisecond, 0, true)
		}
		for ctrl.Limiter.Load().GetRunning() > 0 {
			ctrl.Release(1, time.Millisecond, 0, true)
		}
	}
	for name, makeCold := range map[string]func(){
		"restart":       func() { ctrl.SetWeights("digest", "engine-2") },
		"other weights": func() { ctrl.SetWeights("digest-2", "engine-2") },
		"sudden slowing": func() {
			inFlight, _ := tryAdmit()
			ctrl.Release(inFlight, 900*time.Millisecond, 0, true)
		},
	} {
		warmUp()
		c.Assert(int(ctrl.Limiter.Load().GetLimit()) > 2, qt.IsTrue)
		makeCold()
		c.Check(ctrl.Limiter.Load().GetLimit(), qt.Equals, int32(2), qt.Commentf(name))
	}
}

func TestQueuedRequestsAreAdmittedByPriorityThenCustomerShare(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctrl := newController(c, baseConfig+"[customer small]\n[customer large]\n")
		for range 2 {
			_, reason := ctrl.TryAdmit(&railproto.ExecuteRequest{Incarnation: "i", Service: "chat"})
			c.Assert(reason, qt.Equals, railproto.Reason_REASON_UNSPECIFIED)
		}
		results := make(chan string, 10)
		enqueue := func(name, customer string, priority int32) {
			go func() {
				request := &railproto.ExecuteRequest{Incarnation: "i", Service: "chat", Customer: customer, Priority: priority}
				if _, reason := ctrl.Admit(t.Context(), request); reason != railproto.Reason_REASON_UNSPECIFIED {
					name += " refused for " + reason.String()
				}
				results <- name
			}()
			synctest.Wait()
		}
		enqueue("large 1", "large", 5)
		enqueue("large 2", "large", 5)
		enqueue("small", "small", 5)
		enqueue("urgent", "large", 8)
		for _, want := range []string{"urgent", "large 1", "small"} {
			ctrl.ReleaseUnsampled()
			c.Check(<-results, qt.Equals, want)
		}
		c.Check(<-results, qt.Equals, "large 2 refused for REASON_LIMIT")
		enqueue("leaving", "small", 5)
		ctrl.StartDraining()
		ctrl.ReleaseUnsampled()
		c.Check(<-results, qt.Equals, "leaving refused for REASON_LEAVING")
	})
}
