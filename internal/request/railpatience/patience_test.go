package railpatience_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/request/railpatience"
)

const first = 6 * time.Second

// callers sends requests of which a share are later tries, and returns how many of each kind were taken for later ones.
func callers(p *railpatience.RetryDetector, n int, laterShare float64) (laterTaken, laterAll, firstTaken, firstAll int) {
	random := rand.New(rand.NewPCG(1, 2))
	for range n {
		// First tries differ by what callers have used up before they send.
		wait := time.Duration((0.85 + 0.15*random.Float64()) * float64(first))
		if random.Float64() < laterShare {
			wait -= 900*time.Millisecond + time.Duration(random.Int64N(int64(1100*time.Millisecond)))
			laterAll++
			if p.Observe("r", "", wait) {
				laterTaken++
			}
			continue
		}
		firstAll++
		if p.Observe("r", "", wait) {
			firstTaken++
		}
	}
	return laterTaken, laterAll, firstTaken, firstAll
}

// In the overload that a zone's leaving brings, half of the requests are those of callers who were refused and come back.
func TestLaterTriesAreToldFromFirstOnes(t *testing.T) {
	for _, share := range []float64{0, 0.1, 0.5} {
		laterTaken, laterAll, firstTaken, firstAll := callers(&railpatience.RetryDetector{}, 4000, share)
		qt.Check(t, firstTaken*100 <= firstAll, qt.IsTrue, qt.Commentf("%d of %d first tries", firstTaken, firstAll))
		qt.Check(t, laterTaken*100 >= laterAll*75, qt.IsTrue, qt.Commentf("%d of %d later tries", laterTaken, laterAll))
	}
}

func TestACustomerWhoseCallersAlwaysWaitLessIsNotTakenForReturning(t *testing.T) {
	p := &railpatience.RetryDetector{}
	taken := 0
	for i := range 400 {
		p.Observe("r", "patient", first)
		if p.Observe("r", "hasty", first/2) && i > 50 {
			taken++
		}
	}
	qt.Check(t, taken, qt.Equals, 0)
}

func TestNothingIsSaidOfWhatIsNotKnown(t *testing.T) {
	p := &railpatience.RetryDetector{}
	for range 40 {
		qt.Check(t, p.Observe("r", "c", 0), qt.IsFalse, qt.Commentf("a request without a time"))
	}
	p.Observe("r", "c", first)
	qt.Check(t, p.Observe("r", "c", time.Second), qt.IsFalse, qt.Commentf("only one request is known"))
}
