package railfleet_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/routing/railhash"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// BenchmarkReserve measures the cost of one choice among 160 endpoints, at which 17 other entries have reported load.
func BenchmarkReserve(b *testing.B) {
	var list []railinstance.Instance
	var loads []*railproto.EndpointLoad
	for i := range 160 {
		list = append(list, engine(strconv.Itoa(i)))
		loads = append(loads, &railproto.EndpointLoad{Endpoint: uint32(railhash.Score(list[i].ID, list[i].Address)), Running: 1})
	}
	f, req := newFleet(1, list...)
	req.Backend.ColdPerSecond = 0
	for i := range 17 {
		f.MergeDigest(&railproto.LoadDigest{Entry: strconv.Itoa(i), Sequence: 1, Loads: loads[:len(loads)*i/17]})
	}
	b.ReportAllocs()
	for b.Loop() {
		l, ok := f.Reserve(req)
		if !ok {
			b.Fatal("no endpoint has capacity")
		}
		l.Done(railfleet.Answered)
	}
}

// BenchmarkChooseAmongLimitedEndpoints measures the choice among 1,700 endpoints that have all named limits, at one of 340 entries.
func BenchmarkChooseAmongLimitedEndpoints(b *testing.B) {
	const endpoints, gateways = 1700, 340
	load := newLimitedLoad(gateways, slices.Repeat([]float64{3.2}, endpoints))
	f := load.gateways[0]
	req := railfleet.Requirements{
		Backend: railbackend.Backend{Name: "engines"}, RegionAllowed: func(string) bool { return true }, ZoneOut: func(string) bool { return false },
	}
	for range endpoints {
		l, ok := f.Reserve(req)
		if !ok {
			break
		}
		l.RecordLimit(3.2)
		l.Done(railfleet.Answered)
	}
	for b.Loop() {
		_, _ = f.Forecast(req, time.Now().Add(time.Second), 0, 1)
	}
}
