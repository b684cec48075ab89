package railfleet_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/routing/railhash"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Guards against a sum of the other entries' loads that drifts away from what they have reported: reports that are partial or whole, entries
// that fall silent, report again or restart, and endpoints without load.
func TestLoadOfPeersIsSumOfLatestReports(t *testing.T) {
	const endpoints, peers, peerTTL = 3, 4, 1500 * time.Millisecond
	for seed := range uint64(50) {
		railvirtualtime.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 0))
			var list []railinstance.Instance
			var hashes []uint32
			for i := range endpoints {
				e := engine(strconv.Itoa(i))
				list = append(list, e)
				hashes = append(hashes, uint32(railhash.Score(e.ID, e.Address)))
			}
			f, _ := newFleet(1, list...)
			var reported [peers][endpoints]int
			var seenAt [peers]time.Time
			var incarnation [peers]uint32
			for sequence := range uint64(300) {
				time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
				p := r.IntN(peers)
				digest := &railproto.LoadDigest{Entry: strconv.Itoa(p), Sequence: sequence + 1, Partial: r.IntN(3) > 0}
				if r.IntN(10) == 0 {
					incarnation[p]++
					reported[p] = [endpoints]int{}
				}
				digest.Incarnation = incarnation[p]
				if !digest.Partial {
					reported[p] = [endpoints]int{}
				}
				for e := range endpoints {
					if r.IntN(2) == 0 {
						reported[p][e] = r.IntN(4)
						digest.Loads = append(digest.Loads, &railproto.EndpointLoad{Endpoint: hashes[e], Running: uint32(reported[p][e])})
					}
				}
				f.MergeDigest(digest)
				seenAt[p] = time.Now()
				for e, status := range f.Snapshot() {
					want := 0
					for other := range peers {
						if !seenAt[other].IsZero() && time.Since(seenAt[other]) < peerTTL {
							want += reported[other][e]
						}
					}
					qt.Assert(t, status.InFlight, qt.Equals, want, qt.Commentf("seed %d, digest %d, endpoint %d", seed, sequence, e))
				}
			}
		})
	}
}
