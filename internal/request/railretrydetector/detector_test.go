package railretrydetector_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/request/railretrydetector"
)

const firstTimeout = 6 * time.Second

// observeRequests observes n requests, of which retryShare are retries. It returns how many retries were detected, how many there
// were, how many first tries were detected as retries, and how many there were.
func observeRequests(d *railretrydetector.RetryDetector, n int, retryShare float64) (retriesDetected, retries, misdetected, firstTries int) {
	random := rand.New(rand.NewPCG(1, 2))
	for range n {
		// The timeouts of first tries differ by the time that callers have used before sending.
		timeout := time.Duration((0.85 + 0.15*random.Float64()) * float64(firstTimeout))
		if random.Float64() < retryShare {
			timeout -= 900*time.Millisecond + time.Duration(random.Int64N(int64(1100*time.Millisecond)))
			retries++
			if d.Observe("r", "", timeout) {
				retriesDetected++
			}
			continue
		}
		firstTries++
		if d.Observe("r", "", timeout) {
			misdetected++
		}
	}
	return retriesDetected, retries, misdetected, firstTries
}

// When a zone goes out of service and the others are overloaded, half of the requests are retries of rejected requests.
func TestRetriesAreDistinguishedFromFirstTries(t *testing.T) {
	for _, share := range []float64{0, 0.1, 0.5} {
		retriesDetected, retries, misdetected, firstTries := observeRequests(&railretrydetector.RetryDetector{}, 4000, share)
		qt.Check(t, misdetected*100 <= firstTries, qt.IsTrue, qt.Commentf("%d of %d first tries were detected as retries", misdetected, firstTries))
		qt.Check(t, retriesDetected*100 >= retries*75, qt.IsTrue, qt.Commentf("%d of %d retries were detected", retriesDetected, retries))
	}
}

func TestShorterTimeoutsTypicalOfCustomerAreNotRetries(t *testing.T) {
	d := &railretrydetector.RetryDetector{}
	misdetected := 0
	for i := range 400 {
		d.Observe("r", "patient", firstTimeout)
		if d.Observe("r", "hasty", firstTimeout/2) && i > 50 {
			misdetected++
		}
	}
	qt.Check(t, misdetected, qt.Equals, 0)
}

func TestUnknownTimeoutsAndTooFewSamplesAreNotRetries(t *testing.T) {
	d := &railretrydetector.RetryDetector{}
	for range 40 {
		qt.Check(t, d.Observe("r", "c", 0), qt.IsFalse, qt.Commentf("a request without a timeout"))
	}
	d.Observe("r", "c", firstTimeout)
	qt.Check(t, d.Observe("r", "c", time.Second), qt.IsFalse, qt.Commentf("only one request was observed"))
}
