package railannouncer_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/membership/railproof"
	"github.com/fulmarrail/fulmarrail/internal/membership/railproofs"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railannouncer"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// testEntries are entries that apply notices and reply, unless they are lost.
type testEntries struct {
	announcer *railannouncer.Announcer
	members   []railmember.Member

	mu sync.Mutex
	// lost decides whether a notice to an entry is lost.
	lost func(entry string) bool
	// known holds what each entry knows, by its address.
	known   map[string]railproof.Proof
	notices map[string]int
}

func newEntries(n int) *testEntries {
	e := &testEntries{known: map[string]railproof.Proof{}, notices: map[string]int{}, lost: func(string) bool { return false }}
	for i := range n {
		e.members = append(e.members, railmember.Member{Name: fmt.Sprint(i), Address: fmt.Sprintf("10.0.0.%d:7", i+1)})
	}
	e.announcer = &railannouncer.Announcer{
		Address: "10.9.0.1:80", Entries: func() []railmember.Member { return e.members }, Send: e.receive, Log: slog.New(slog.DiscardHandler),
	}
	return e
}

func (e *testEntries) receive(d *railproto.Datagram, to ...*net.UDPAddr) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := d.GetNotice()
	for _, address := range to {
		e.notices[address.String()]++
		if e.lost(address.String()) {
			continue
		}
		known := e.known[address.String()]
		if n.GetSequence() > known.Sequence || n.GetSequence() == known.Sequence && n.GetProvenVersion() > 0 {
			known = railproof.Proof{StartMillis: n.GetStartMillis(), Sequence: n.GetSequence(), Version: n.GetProvenVersion()}
			e.known[address.String()] = known
		}
		if n.GetReplyWanted() {
			go e.announcer.HandleReply(address, &railproto.NoticeReply{StartMillis: known.StartMillis, Sequence: known.Sequence, ProvenVersion: known.Version})
		}
	}
}

func (e *testEntries) knowProven(version int64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, known := range e.known {
		if known.Version == version {
			n++
		}
	}
	return n
}

// Guards against engines that an entry never uses, since the only statement that their weights are proven was lost.
func TestProofIsRepeatedUntilAllEntriesHaveReplied(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		e := newEntries(4)
		losses := 0
		e.lost = func(string) bool {
			losses++
			return losses%3 > 0
		}
		go e.announcer.Run(t.Context())
		e.announcer.SetProof(railproof.Proof{StartMillis: 1, Sequence: 2, Version: 5})
		time.Sleep(5 * time.Second)
		qt.Check(t, e.knowProven(5), qt.Equals, 4)
		before := e.notices["10.0.0.1:7"]
		time.Sleep(time.Minute)
		qt.Check(t, e.notices["10.0.0.1:7"], qt.Equals, before, qt.Commentf("nothing is repeated once all have replied"))
	})
}

// Guards against datagrams without end to entries that are gone for good.
func TestEntryThatIsGoneGetsFewNotices(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		e := newEntries(1)
		e.lost = func(string) bool { return true }
		go e.announcer.Run(t.Context())
		e.announcer.SetProof(railproof.Proof{StartMillis: 1, Version: 5})
		time.Sleep(time.Hour)
		qt.Check(t, e.notices["10.0.0.1:7"] < 20, qt.IsTrue, qt.Commentf("%d", e.notices["10.0.0.1:7"]))
	})
}

// Guards against a second load of a version while an entry still holds the proof of the first one, and against loads that entries which are gone
// hold up.
func TestFenceWaitsForAllEntriesThatCanReply(t *testing.T) {
	for name, test := range map[string]struct {
		lost     func(entry string) bool
		min, max time.Duration
	}{
		"all reply":            {func(string) bool { return false }, 0, 100 * time.Millisecond},
		"one is gone for good": {func(entry string) bool { return entry == "10.0.0.2:7" }, time.Second, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				e := newEntries(3)
				e.lost = test.lost
				go e.announcer.Run(t.Context())
				p := railproof.Proof{StartMillis: 1, Sequence: 4}
				e.announcer.SetProof(p)
				began := time.Now()
				e.announcer.Fence(t.Context(), p)
				took := time.Since(began)
				qt.Check(t, took >= test.min && took <= test.max, qt.IsTrue, qt.Commentf("%s", took))
				began = time.Now()
				e.announcer.Fence(t.Context(), p)
				qt.Check(t, time.Since(began) < 50*time.Millisecond, qt.IsTrue, qt.Commentf("a cold start must not wait again"))
			})
		})
	}
}

// Guards against carriers that load again what an entry knows to be proven, and those that take silence for an answer.
func TestStartedCarrierLearnsWhatEntriesKnow(t *testing.T) {
	p := railproof.Proof{StartMillis: 1, Sequence: 4}
	for name, test := range map[string]struct {
		entries  int
		known    railproof.Proof
		lost     bool
		version  int64
		answered bool
	}{
		"an entry knows":                {entries: 3, known: railproof.Proof{StartMillis: 1, Sequence: 4, Version: 6}, version: 6, answered: true},
		"it knows of an earlier order":  {entries: 3, known: railproof.Proof{StartMillis: 1, Sequence: 2, Version: 6}, answered: true},
		"none knows anything":           {entries: 3, answered: true},
		"none replies":                  {entries: 3, lost: true},
		"there are no entries":          {answered: true},
		"it knows, but does not answer": {entries: 1, known: railproof.Proof{StartMillis: 1, Sequence: 4, Version: 6}, lost: true},
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				e := newEntries(test.entries)
				e.lost = func(string) bool { return test.lost }
				e.known["10.0.0.1:7"] = test.known
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go e.announcer.Run(ctx)
				e.announcer.SetProof(p)
				version, answered := e.announcer.Known(ctx, p)
				qt.Check(t, version, qt.Equals, test.version)
				qt.Check(t, answered, qt.Equals, test.answered)
			})
		})
	}
}

// Guards against a load before an entry has dropped its proof, since a carrier that has stood still took that time for a wait: the notice was lost, and
// there was no time to repeat it.
func TestFenceDoesNotCountStandstillAsWait(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		e := newEntries(2)
		lost := false
		e.lost = func(entry string) bool {
			first := entry == "10.0.0.2:7" && !lost
			lost = lost || first
			return first
		}
		thaw := time.Now().Add(4 * time.Second)
		e.announcer.Entries = func() []railmember.Member {
			if time.Until(thaw) < 4*time.Second { // The process stands still right after the first notice.
				time.Sleep(time.Until(thaw))
			}
			return e.members
		}
		e.announcer.Send = func(d *railproto.Datagram, to ...*net.UDPAddr) {
			time.AfterFunc(time.Millisecond, func() { e.receive(d, to...) })
		}
		go e.announcer.Run(t.Context())
		p := railproof.Proof{StartMillis: 1, Sequence: 4}
		e.announcer.SetProof(p)
		time.Sleep(time.Millisecond)
		e.announcer.Fence(t.Context(), p)
		e.mu.Lock()
		defer e.mu.Unlock()
		qt.Check(t, e.known["10.0.0.2:7"].Sequence, qt.Equals, int64(4))
	})
}

// Guards against requests by an entry that was cut off from the carrier while the others dropped their proofs, and is back before a repeated notice
// reaches it: it has seen no failure, and the weights may be complete by then though nobody has proven them.
func TestEntryThatWasCutOffDuringFenceUsesNoEarlierProof(t *testing.T) {
	for name, cut := range map[string]time.Duration{"for 3 s": 3 * time.Second, "until after the last repetition": 30 * time.Second} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				e := newEntries(1)
				known := &railproofs.Proofs{OnChange: func(string, int64) {}, Log: slog.New(slog.DiscardHandler)}
				began := time.Now()
				e.announcer.Send = func(d *railproto.Datagram, _ ...*net.UDPAddr) {
					if n := d.GetNotice(); time.Since(began) >= cut {
						known.Apply(railproof.Proof{Address: n.GetAddress(), StartMillis: n.GetStartMillis(), Sequence: n.GetSequence(), Version: n.GetProvenVersion()})
					}
				}
				known.Apply(railproof.Proof{Address: e.announcer.Address, StartMillis: 1, Sequence: 2, Version: 5})
				go e.announcer.Run(t.Context())
				p := railproof.Proof{StartMillis: 2}
				e.announcer.SetProof(p)
				e.announcer.Fence(t.Context(), p) // The version is loaded once more after that.
				time.Sleep(cut + 10*time.Millisecond - time.Since(began))
				proof, _ := known.Get(e.announcer.Address)
				qt.Check(t, proof.Version, qt.Equals, int64(0))
			})
		})
	}
}

// Guards against an entry that keeps the proof of an earlier load since the carrier does not know it: it has started while the store is away, and has
// learned of the proof by asking.
func TestEntryThatHasAskedIsToldOfLaterOrders(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		const asker = "10.0.0.9:7"
		e := newEntries(1)
		go e.announcer.Run(t.Context())
		e.announcer.SetProof(railproof.Proof{StartMillis: 1, Sequence: 2, Version: 5})
		time.Sleep(time.Second)
		e.announcer.Answer(net.UDPAddrFromAddrPort(netip.MustParseAddrPort(asker)))
		p := railproof.Proof{StartMillis: 1, Sequence: 4}
		e.announcer.SetProof(p)
		e.announcer.Fence(t.Context(), p)
		e.mu.Lock()
		qt.Check(t, e.known[asker].Sequence, qt.Equals, int64(4))
		e.lost = func(entry string) bool { return entry == asker }
		e.mu.Unlock()
		time.Sleep(time.Hour)
		began := time.Now()
		p.Sequence = 6
		e.announcer.SetProof(p)
		e.announcer.Fence(t.Context(), p)
		qt.Check(t, time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("an entry that was not heard for an hour is not waited for"))
	})
}
