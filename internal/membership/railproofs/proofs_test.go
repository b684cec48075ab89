package railproofs_test

import (
	"log/slog"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railproof"
	"github.com/fulmarrail/fulmarrail/internal/membership/railproofs"
)

const (
	address = "10.0.0.1:80"
	born    = 1000
	reborn  = 2000
)

// newProofs returns a set of proofs, and a function that returns the version that the engine may serve by its last change.
func newProofs() (*railproofs.Proofs, func() int64) {
	usable := int64(0)
	p := &railproofs.Proofs{Log: slog.New(slog.DiscardHandler), OnChange: func(_ string, version int64) { usable = version }}
	return p, func() int64 { return usable }
}

func state(start, sequence, version int64) railproof.Proof {
	return railproof.Proof{Address: address, StartMillis: start, Sequence: sequence, Version: version}
}

func listed(start int64) []railinstance.Instance {
	return []railinstance.Instance{{ID: "e", Address: address, StartMillis: start, WeightsVersion: 1}}
}

// Guards against requests at an engine of which a lost, late or repeated statement says more than is known now.
func TestProofCountsOnlyForLatestKnownOrder(t *testing.T) {
	for name, test := range map[string]struct {
		events func(p *railproofs.Proofs)
		want   int64
	}{
		"nothing is known": {func(*railproofs.Proofs) {}, 0},
		"proven":           {func(p *railproofs.Proofs) { p.Apply(state(born, 2, 1)) }, 1},
		"an unknown state": {func(p *railproofs.Proofs) { p.Apply(state(born, 2, 0)) }, 0},
		"a repeated statement that knows less": {func(p *railproofs.Proofs) {
			p.Apply(state(born, 2, 1))
			p.Apply(state(born, 2, 0))
		}, 1},
		"a later order": {func(p *railproofs.Proofs) {
			p.Apply(state(born, 2, 1))
			p.Apply(state(born, 3, 0))
		}, 0},
		"a late statement about an earlier order": {func(p *railproofs.Proofs) {
			p.Apply(state(born, 3, 0))
			p.Apply(state(born, 2, 1))
		}, 0},
		"a later start": {func(p *railproofs.Proofs) {
			p.Apply(state(born, 2, 1))
			p.Apply(state(reborn, 0, 0))
		}, 0},
		"a late statement about an earlier start": {func(p *railproofs.Proofs) {
			p.Apply(state(reborn, 0, 0))
			p.Apply(state(born, 2, 1))
		}, 0},
		"a late statement about an earlier start that is still listed": {func(p *railproofs.Proofs) {
			p.SetInstances(listed(born))
			p.Apply(state(reborn, 0, 0))
			p.SetInstances(listed(born))
			p.Apply(state(born, 2, 1))
		}, 0},
		"a late statement about an earlier start that the list has dropped": {func(p *railproofs.Proofs) {
			p.SetInstances(listed(born))
			p.Apply(state(born, 2, 1))
			p.SetInstances(listed(reborn))
			p.Apply(state(born, 2, 1))
			p.SetInstances(listed(reborn))
		}, 0},
		"a statement about an earlier start than the list has shown from the beginning": {func(p *railproofs.Proofs) {
			p.SetInstances(listed(reborn))
			p.Apply(state(born, 2, 1))
		}, 0},
		"a row of an earlier start is listed first": {func(p *railproofs.Proofs) {
			p.Apply(state(reborn, 2, 1))
			p.SetInstances(listed(born))
			p.SetInstances(listed(reborn))
		}, 1},
		"the list shows a later start": {func(p *railproofs.Proofs) {
			p.SetInstances(listed(born))
			p.Apply(state(born, 2, 1))
			p.SetInstances(listed(reborn))
		}, 0},
		"a start that seems earlier since the clock was set back": {func(p *railproofs.Proofs) {
			p.SetInstances(listed(reborn))
			p.Apply(state(reborn, 2, 1))
			p.SetInstances(listed(born))
			p.Apply(state(born, 4, 3))
		}, 3},
		"a late statement about an earlier start whose clock was ahead": {func(p *railproofs.Proofs) {
			p.SetInstances(listed(reborn))
			p.Apply(state(reborn, 2, 1))
			p.SetInstances(listed(born))
			p.Apply(state(born, 4, 3))
			p.Apply(state(reborn, 2, 1))
		}, 3},
		"the carrier goes on after a late statement about an earlier start whose clock was ahead": {func(p *railproofs.Proofs) {
			p.SetInstances(listed(reborn))
			p.Apply(state(reborn, 2, 1))
			p.SetInstances(listed(born))
			p.Apply(state(born, 3, 0))
			p.Apply(state(reborn, 2, 1))
			p.SetInstances(listed(born))
			p.Apply(state(born, 4, 3))
		}, 3},
		"the list goes back to an earlier start for a moment, as after a restore of the store": {func(p *railproofs.Proofs) {
			p.SetInstances(listed(reborn))
			p.Apply(state(reborn, 2, 1))
			p.SetInstances(listed(born))
			p.SetInstances(listed(reborn))
			p.Apply(state(reborn, 2, 1))
		}, 1},
		"the engine leaves the list for a moment": {func(p *railproofs.Proofs) {
			p.SetInstances(listed(born))
			p.Apply(state(born, 2, 1))
			p.SetInstances(nil)
			p.SetInstances(listed(born))
		}, 1},
		"an engine that does not tell its start": {func(p *railproofs.Proofs) {
			p.SetInstances(listed(born))
			p.Apply(state(0, 0, 1))
			p.SetInstances(listed(born))
		}, 1},
		"a failure": {func(p *railproofs.Proofs) {
			p.Apply(state(born, 2, 1))
			p.Doubt(address)
		}, 0},
		"a failure, and the order is confirmed": {func(p *railproofs.Proofs) {
			p.Apply(state(born, 2, 1))
			p.Doubt(address)
			p.Apply(state(born, 2, 0))
		}, 1},
		"a failure, and an earlier order is confirmed late": {func(p *railproofs.Proofs) {
			p.Apply(state(born, 2, 1))
			p.Doubt(address)
			p.Apply(state(born, 1, 1))
		}, 0},
		"a failure, and an entry that has missed a later order repeats the proof": {func(p *railproofs.Proofs) {
			p.Apply(state(born, 2, 1))
			p.Doubt(address)
			p.ApplyReport(state(born, 2, 1))
		}, 0},
		"only an entry that may have missed a later order knows of a proof": {func(p *railproofs.Proofs) {
			p.ApplyReport(state(born, 2, 1))
		}, 0},
		"an entry knows of a proof, and the order is confirmed": {func(p *railproofs.Proofs) {
			p.ApplyReport(state(born, 2, 1))
			p.Apply(state(born, 2, 0))
		}, 1},
		"the order is known, and an entry knows of its proof": {func(p *railproofs.Proofs) {
			p.Apply(state(born, 2, 0))
			p.ApplyReport(state(born, 2, 1))
		}, 1},
		"an entry knows of a proof, and there was a later order": {func(p *railproofs.Proofs) {
			p.ApplyReport(state(born, 2, 1))
			p.Apply(state(born, 3, 0))
		}, 0},
		"an entry knows of a later order": {func(p *railproofs.Proofs) {
			p.Apply(state(born, 2, 1))
			p.ApplyReport(state(born, 4, 3))
		}, 0},
		"an entry repeats a proof that counts": {func(p *railproofs.Proofs) {
			p.Apply(state(born, 2, 1))
			p.ApplyReport(state(born, 2, 1))
		}, 1},
		"this process has stood still": {func(p *railproofs.Proofs) {
			p.Apply(state(born, 2, 1))
			p.DoubtAll()
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p, usable := newProofs()
			test.events(p)
			qt.Check(t, usable(), qt.Equals, test.want)
			known, _ := p.Get(address)
			qt.Check(t, known.Version, qt.Equals, test.want)
		})
	}
}

// Guards against engines that are never used since nobody asks what their weights are.
func TestEnginesWithoutProofAreAskedFor(t *testing.T) {
	p, _ := newProofs()
	p.SetInstances(listed(born))
	qt.Check(t, p.Unproven(), qt.HasLen, 1)
	p.Apply(state(born, 0, 1))
	qt.Check(t, p.Unproven(), qt.HasLen, 0)
	p.Doubt(address)
	qt.Check(t, p.Unproven(), qt.HasLen, 1)
	p.SetInstances([]railinstance.Instance{{ID: "e", Address: address, StartMillis: born}})
	qt.Check(t, p.Unproven(), qt.HasLen, 0, qt.Commentf("its row shows no complete weights"))
}
