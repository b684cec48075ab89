package railclient

import (
	"bufio"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/lab/railanswer"
)

const (
	maxEventBytes = 1 << 20
	maxConns      = 1 << 14
	// timeoutMargin is how much longer than the deadline the client waits for the answer.
	timeoutMargin = 2 * time.Second
)

// Caller sends the requests of one customer to entries. Its exported fields must be set before the first use.
type Caller struct {
	Customer string
	Deadline time.Duration

	initOnce sync.Once
	client   *fasthttp.Client
}

// Send sends one request to the entry at an address and returns the answer. key is the idempotency key, or empty. A failed request is
// reported in the answer's Reason.
func (c *Caller) Send(address, service, path, body, key string, priority int) railanswer.Answer {
	c.initOnce.Do(c.init)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + "/" + service + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set("Fulmarrail-Customer", c.Customer)
	req.Header.Set("Fulmarrail-Deadline", c.Deadline.String())
	req.Header.Set("Fulmarrail-Priority", string(rune('0'+priority)))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	req.SetBodyString(body)
	req.SetTimeout(c.Deadline + timeoutMargin)
	answer := railanswer.Answer{Service: service, Customer: c.Customer, Key: key, StartedAt: time.Now()}
	if err := c.client.Do(req, resp); err != nil {
		answer.Reason = err.Error()
		return answer
	}
	defer func() { _ = resp.CloseBodyStream() }()
	answer.Status = resp.StatusCode()
	answer.Verdict = string(resp.Header.Peek("Fulmarrail-Verdict"))
	answer.Endpoint = string(resp.Header.Peek("Fulmarrail-Endpoint"))
	if strings.HasPrefix(string(resp.Header.ContentType()), "text/event-stream") {
		readStream(&answer, resp)
		return answer
	}
	var content strings.Builder
	if err := resp.BodyWriteTo(&content); err != nil {
		answer.Reason = err.Error()
		return answer
	}
	answer.FirstToken = time.Since(answer.StartedAt)
	answer.Complete = answer.Status == fasthttp.StatusOK && answer.Verdict == "ran"
	if !answer.Complete {
		answer.Reason = content.String()
	}
	return answer
}

func (c *Caller) init() {
	c.client = &fasthttp.Client{
		MaxConnsPerHost: maxConns, StreamResponseBody: true, MaxIdleConnDuration: time.Second,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// readStream reads an event stream up to its terminal event. The answer is incomplete if the stream ends without one.
func readStream(answer *railanswer.Answer, resp *fasthttp.Response) {
	scanner := bufio.NewScanner(resp.BodyStream())
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	eventName := ""
	for scanner.Scan() {
		line := scanner.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			eventName = name
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		var event struct {
			Weights string `json:"weights"`
			Verdict string `json:"verdict"`
			Count   int    `json:"count"`
			Reason  string `json:"reason"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			answer.Reason = errors.Wrap(err, "decode an event").Error()
			return
		}
		if event.Weights != "" && !slices.Contains(answer.Weights, event.Weights) {
			answer.Weights = append(answer.Weights, event.Weights)
		}
		if eventName != "" {
			answer.Verdict, answer.Reason = event.Verdict, event.Reason
			answer.Complete = eventName == "end" && event.Count == answer.Events
			answer.BetweenTokens = timePerToken(answer)
			return
		}
		answer.Events++
		if answer.Events == 1 {
			answer.FirstToken = time.Since(answer.StartedAt)
		}
	}
	answer.Reason = "the stream ended without its last event"
}

func timePerToken(answer *railanswer.Answer) time.Duration {
	if answer.Events < 2 {
		return 0
	}
	return (time.Since(answer.StartedAt) - answer.FirstToken) / time.Duration(answer.Events-1)
}
