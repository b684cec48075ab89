package railpicker_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bits-and-blooms/bitset"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/rollout/railpicker"
)

const (
	// firstSlowChunk and secondSlowChunk are held by the slow peer only, until the fast peer reports them.
	firstSlowChunk, secondSlowChunk, chunks = 5, 6, 7

	fastChunkTime = 30 * time.Millisecond
	slowChunkTime = 2 * time.Second
)

// region is a picker with one fast and one slow peer. Its clock only moves when a test moves it.
type region struct {
	picker railpicker.Picker
	now    time.Time
}

func newRegion() *region {
	r := &region{now: time.Unix(1000, 0)}
	r.picker = railpicker.Picker{
		Chunks: chunks, StartTime: r.now, Random: rand.New(rand.NewPCG(1, 1)), ImportRank: func(int) int { return 0 }, RegionPeers: 2,
	}
	return r
}

// report records a neighbour's report that it holds the given chunks.
func (r *region) report(name string, held ...uint) {
	r.reportAs(railpicker.PeerReport{Name: name, Neighbour: true}, held...)
}

// reportAs records a report with the given chunks.
func (r *region) reportAs(report railpicker.PeerReport, held ...uint) {
	report.Held, report.Importing = &bitset.BitSet{}, &bitset.BitSet{}
	for _, chunk := range held {
		report.Held.Set(chunk)
	}
	r.picker.UpdatePeer(report, r.now)
}

// fetch requests the next chunk, which must be the given one from the given peer, and receives it after took.
func (r *region) fetch(t *testing.T, want railpicker.Pick, took time.Duration) {
	t.Helper()
	pick, ok := r.picker.Next(r.now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, pick, qt.Equals, want)
	r.now = r.now.Add(took)
	r.picker.Finish(pick, railpicker.Received, r.now)
}

// Guards against a slow peer's delivery times postponing the second request for a chunk: the longer an agent had waited for slow
// peers, the longer it waited for the next chunk from one before it asked another peer that held it as well.
func TestSlowDeliveryDoesNotPostponeSecondRequest(t *testing.T) {
	r := newRegion()
	for chunk := range firstSlowChunk {
		r.report("fast", uint(chunk))
		r.fetch(t, railpicker.Pick{Chunk: chunk, From: "fast"}, fastChunkTime)
	}
	r.report("slow", firstSlowChunk)
	r.fetch(t, railpicker.Pick{Chunk: firstSlowChunk, From: "slow"}, slowChunkTime)
	r.report("slow", secondSlowChunk)
	pick, ok := r.picker.Next(r.now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, pick, qt.Equals, railpicker.Pick{Chunk: secondSlowChunk, From: "slow"})

	r.report("fast", secondSlowChunk)
	r.now = r.now.Add(10 * fastChunkTime)
	pick, ok = r.picker.Next(r.now)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("no second request after ten times what the fast peer takes"))
	qt.Check(t, pick, qt.Equals, railpicker.Pick{Chunk: secondSlowChunk, From: "fast"})
}

// Guards against requesting a chunk twice before it takes much longer than chunks usually do.
func TestSecondRequestWaitsForMultipleOfUsualTime(t *testing.T) {
	r := newRegion()
	const busyChunkTime = 200 * time.Millisecond
	for chunk := range firstSlowChunk {
		r.report("fast", uint(chunk))
		r.fetch(t, railpicker.Pick{Chunk: chunk, From: "fast"}, busyChunkTime)
	}
	r.report("slow", firstSlowChunk)
	_, ok := r.picker.Next(r.now)
	qt.Assert(t, ok, qt.IsTrue)
	r.report("fast", firstSlowChunk)
	r.now = r.now.Add(2 * busyChunkTime)
	_, ok = r.picker.Next(r.now)
	qt.Check(t, ok, qt.IsFalse)
	r.now = r.now.Add(busyChunkTime)
	pick, ok := r.picker.Next(r.now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, pick, qt.Equals, railpicker.Pick{Chunk: firstSlowChunk, From: "fast"})
}

// Guards against requesting a chunk from a second peer since that one is fast, although chunks usually take longer than a peer needs:
// they wait for each other on this agent's link, and a second copy only makes all of them wait longer.
func TestChunksThatWaitForOwnLinkAreNotRequestedTwice(t *testing.T) {
	r := newRegion()
	r.picker.Chunks = 40
	all := make([]uint, r.picker.Chunks)
	for chunk := range all {
		all[chunk] = uint(chunk)
	}
	r.reportAs(railpicker.PeerReport{Name: "relay", Relay: true, Neighbour: true}, all...)
	var inFlight []railpicker.Pick
	requested := map[int]time.Time{}
	usual := time.Duration(0)
	for r.picker.Missing() > 1 {
		for pick, ok := r.picker.Next(r.now); ok; pick, ok = r.picker.Next(r.now) {
			inFlight, requested[pick.Chunk] = append(inFlight, pick), r.now
		}
		r.now = r.now.Add(fastChunkTime)
		usual = r.now.Sub(requested[inFlight[0].Chunk])
		r.picker.Finish(inFlight[0], railpicker.Received, r.now)
		inFlight = inFlight[1:]
	}
	qt.Assert(t, usual > 3*fastChunkTime, qt.IsTrue, qt.Commentf("chunks must wait for each other, but take %s", usual))
	r.report("idle", all...)
	r.now = requested[inFlight[0].Chunk].Add(2 * usual)
	pick, ok := r.picker.Next(r.now)
	qt.Check(t, ok, qt.IsFalse, qt.Commentf("%+v is requested again after %s, where chunks usually take %s", pick, 2*usual, usual))
}
