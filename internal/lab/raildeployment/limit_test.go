package raildeployment_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// Guards against a limit that an engine names over HTTP and that its agent does not learn of.
func TestDeploymentKeepsToLimitsThatEnginesName(t *testing.T) {
	const (
		limitWindow = 4 * time.Second
		perWindow   = 4 // The engines' limit is one request per second.
	)
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	d, _ := startDeployment(ctx, c)
	for _, engine := range d.SimulatedEngines() {
		engine.SetLimit("1")
	}
	time.Sleep(time.Second) // Agents read their engines' state twice a second.
	since := time.Now()
	statuses := postForAWhile(c, d.CallerAddresses(), 8*time.Second)
	c.Check(statuses[fasthttp.StatusOK] >= 20, qt.IsTrue, qt.Commentf("%v", statuses))
	c.Check(statuses[fasthttp.StatusServiceUnavailable] > 0, qt.IsTrue, qt.Commentf("%v", statuses))
	for name, engine := range d.SimulatedEngines() {
		starts := engine.RequestStarts()
		for i := range starts {
			if i >= perWindow && starts[i-perWindow].After(since) {
				c.Check(starts[i].Sub(starts[i-perWindow]) >= limitWindow-100*time.Millisecond, qt.IsTrue, qt.Commentf("%s, request %d", name, i))
			}
		}
	}
}

// postForAWhile sends requests to all entries, one per entry each 50 ms, and returns how many got which status.
func postForAWhile(c *qt.C, addresses map[string]string, duration time.Duration) map[int]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := map[int]int{}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, address := range addresses {
			wg.Go(func() {
				status, err := postWithDeadline(address, "2s")
				c.Check(err, qt.IsNil)
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
		}
	}
	wg.Wait()
	return statuses
}

// postWithDeadline sends a request to an entry and returns the status of the response.
func postWithDeadline(address, deadline string) (int, error) {
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("http://" + address + "/assistant/v1/chat")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set("Fulmarrail-Customer", "harbour")
	req.Header.Set("Fulmarrail-Deadline", deadline)
	req.SetBodyString(`{"maxTokens": 5}`)
	err := fasthttp.DoTimeout(&req, &resp, 10*time.Second)
	return resp.StatusCode(), err
}
