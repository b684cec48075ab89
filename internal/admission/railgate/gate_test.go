package railgate_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/admission/railgate"
	"github.com/fulmarrail/fulmarrail/internal/config/railfile"
	"github.com/fulmarrail/fulmarrail/internal/config/railfolder"
	"github.com/fulmarrail/fulmarrail/internal/config/railkeeper"
	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtual"
	"github.com/fulmarrail/fulmarrail/internal/limit/raillimiter"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const base = "[origin main]\nregion = a\n[service chat]\nkind = engine\nversion = v1\ncoldLimit = 2\n[zone a]\nregion = a\n"

func newGate(c *qt.C, content string) *railgate.Controller {
	folder := railfolder.Folder{Stamp: 1}
	folder = folder.WithFile(railfile.File{Name: "10.ini", Stamp: 1, Content: content})
	revision, _, err := railrevision.Revision{}.Next(folder)
	c.Assert(err, qt.IsNil)
	keeper := &railkeeper.Keeper{}
	keeper.Adopt(revision)
	g := &railgate.Controller{
		Incarnation: "i", Service: "chat", Zone: "a", Config: keeper,
		Limiter: &raillimiter.Limiter{ColdLimit: 2, MaxLimit: 8, FirstTokenTarget: time.Second},
	}
	g.SetWeights("digest", "engine")
	return g
}

func TestGateRefusesWhateverTheSenderBelieves(t *testing.T) {
	request := &railproto.ExecuteRequest{Incarnation: "i", Service: "chat", Revision: 0}
	for _, test := range []struct {
		name    string
		content string
		request *railproto.ExecuteRequest
		change  func(*railgate.Controller)
		want    railproto.Reason
	}{
		{"admits", base, request, func(*railgate.Controller) {}, railproto.Reason_REASON_UNSPECIFIED},
		{"zone taken out", base + "state = out\n", request, func(*railgate.Controller) {}, railproto.Reason_REASON_ZONE_OUT},
		{"leaving", base, request, (*railgate.Controller).StartDraining, railproto.Reason_REASON_LEAVING},
		{"no complete weights", base, request, func(g *railgate.Controller) { g.SetWeights("", "engine") }, railproto.Reason_REASON_NO_WEIGHTS},
		{"switch of weights", base, request, func(g *railgate.Controller) { g.SetSuspended(true) }, railproto.Reason_REASON_NO_WEIGHTS},
		{
			"another incarnation", base,
			&railproto.ExecuteRequest{Incarnation: "j", Service: "chat"},
			func(*railgate.Controller) {}, railproto.Reason_REASON_WRONG_INCARNATION,
		},
		{
			"another service", base,
			&railproto.ExecuteRequest{Incarnation: "i", Service: "print"},
			func(*railgate.Controller) {}, railproto.Reason_REASON_UNKNOWN_SERVICE,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newGate(c, test.content)
			test.change(g)
			c.Check(g.Check(test.request), qt.Equals, test.want)
		})
	}
}

func TestGateNeverAdmitsAboveTheColdLimitAfterAColdStart(t *testing.T) {
	c := qt.New(t)
	request := &railproto.ExecuteRequest{Incarnation: "i", Service: "chat"}
	g := newGate(c, base)
	admit := func() (int, bool) {
		together, reason := g.TryAdmit(request)
		return together, reason == railproto.Reason_REASON_UNSPECIFIED
	}
	warm := func() {
		for range 100 {
			together := 0
			for n, ok := admit(); ok; n, ok = admit() {
				together = n
			}
			g.Release(together, time.Millisecond, 0, true)
		}
		for g.Limiter.Load().GetRunning() > 0 {
			g.Release(1, time.Millisecond, 0, true)
		}
	}
	for name, cold := range map[string]func(){
		"restart":       func() { g.SetWeights("digest", "engine-2") },
		"other weights": func() { g.SetWeights("digest-2", "engine-2") },
		"sudden slowing": func() {
			together, _ := admit()
			g.Release(together, 900*time.Millisecond, 0, true)
		},
	} {
		warm()
		c.Assert(int(g.Limiter.Load().GetLimit()) > 2, qt.IsTrue)
		cold()
		c.Check(g.Limiter.Load().GetLimit(), qt.Equals, int32(2), qt.Commentf(name))
	}
}

func TestWaitingRequestsAreAdmittedByPriorityAndThenByShares(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newGate(c, base+"[customer small]\n[customer large]\n")
		for range 2 {
			_, reason := g.TryAdmit(&railproto.ExecuteRequest{Incarnation: "i", Service: "chat"})
			c.Assert(reason, qt.Equals, railproto.Reason_REASON_UNSPECIFIED)
		}
		admitted := make(chan string, 10)
		wait := func(name, customer string, priority int32) {
			go func() {
				request := &railproto.ExecuteRequest{Incarnation: "i", Service: "chat", Customer: customer, Priority: priority}
				if _, reason := g.Admit(t.Context(), request); reason != railproto.Reason_REASON_UNSPECIFIED {
					name += " refused for " + reason.String()
				}
				admitted <- name
			}()
			synctest.Wait()
		}
		wait("large 1", "large", 5)
		wait("large 2", "large", 5)
		wait("small", "small", 5)
		wait("urgent", "large", 8)
		for _, want := range []string{"urgent", "large 1", "small"} {
			g.ReleaseUnsampled()
			c.Check(<-admitted, qt.Equals, want)
		}
		c.Check(<-admitted, qt.Equals, "large 2 refused for REASON_LIMIT")
		wait("leaving", "small", 5)
		g.StartDraining()
		g.ReleaseUnsampled()
		c.Check(<-admitted, qt.Equals, "leaving refused for REASON_LEAVING")
	})
}
