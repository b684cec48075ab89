package railfleet_test

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railproof"
	"github.com/fulmarrail/fulmarrail/internal/membership/railproofs"
)

// BenchmarkConfirmProofsAfterStandstill measures what an entry does with the proofs of 1,700 endpoints after its process has stood still: all are put in
// doubt and confirmed by their carriers.
func BenchmarkConfirmProofsAfterStandstill(b *testing.B) {
	const endpoints = 1700
	var list []railinstance.Instance
	for i := range endpoints {
		list = append(list, railinstance.Instance{ID: fmt.Sprint(i), Service: "engines", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Zone: zone, Region: zone, Slots: 16, WeightsVersion: 1, StartMillis: 1})
	}
	f := &railfleet.Fleet{RequireProofs: true, OnChange: func() {}, Log: slog.New(slog.DiscardHandler)}
	p := &railproofs.Proofs{OnChange: f.SetProven, Log: slog.New(slog.DiscardHandler)}
	p.SetInstances(list)
	f.SetInstances(list)
	confirm := func() {
		for _, i := range list {
			p.Apply(railproof.Proof{Address: i.Address, StartMillis: 1, Sequence: 2, Version: 1})
		}
	}
	confirm()
	for b.Loop() {
		p.DoubtAll()
		confirm()
	}
}
