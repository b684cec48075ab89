package world3

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var ids atomic.Int64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+ids.Add(1)) }

var transport = &http.Transport{
	DisableKeepAlives: true, DisableCompression: true,
	DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
}

func get(url string, timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// request is what a client wants.
type request struct {
	method, host, path, key string
	header                  map[string]string
	body                    []byte
	deadline                time.Duration
	// retries is the number of further attempts, and safe whether one may follow any failure.
	retries int
	safe    bool
}

// answer is what a client got from one attempt.
type answer struct {
	id     string
	status int
	err    error
	body   []byte
	sealed bool
	retry  time.Duration
	// sentAt is when the request was sent, and doneAt when its answer was complete.
	sentAt, doneAt time.Time
}

// attempt sends a request to a gateway on a new connection.
func (r request) attempt(p *proc, left time.Duration) answer {
	a := answer{id: newID(), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, fmt.Sprintf("http://%s:%d%s", p.ip, callersPort, r.path), bytes.NewReader(r.body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = r.host
	req.Header.Set("X-Fulmarrail-Request-Id", a.id)
	req.Header.Set("X-Fulmarrail-Request-Deadline", strconv.FormatInt(left.Milliseconds(), 10))
	if r.key != "" {
		req.Header.Set("Authorization", "Token "+r.key)
	}
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.sealed = resp.StatusCode, resp.Header.Get("X-Fulmarrail-Response-Seal") != ""
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retry = time.Duration(s * float64(time.Second))
	}
	a.body, a.err = io.ReadAll(resp.Body)
	a.doneAt = time.Now()
	return a
}

// pick returns a gateway that gets new connections.
func pick(gateways []*proc) *proc {
	var in []*proc
	for _, p := range gateways {
		if p.inRotation() {
			in = append(in, p)
		}
	}
	if len(in) == 0 {
		in = gateways
	}
	return in[rand.IntN(len(in))]
}

// promised reports whether a status promises that the request has not run and never will.
func promised(status int) bool {
	return status == 503 || status == 429 || status == 408 || status == 421
}

// send makes a request with its retries, each on a new connection. It returns the last answer, and the gateway that gave it.
func (r request) send(gateways []*proc) (answer, *proc) {
	start := time.Now()
	var a answer
	var p *proc
	for n := 0; n <= r.retries; n++ {
		left := r.deadline - time.Since(start)
		if left < 20*time.Millisecond {
			break
		}
		p = pick(gateways)
		a = r.attempt(p, left)
		if a.err == nil && a.status < 400 {
			return a, p
		}
		if a.err == nil && !promised(a.status) && !(r.safe && a.status >= 500) || a.err != nil && !r.safe {
			return a, p
		}
		wait := min(a.retry, (r.deadline-time.Since(start))/3)
		time.Sleep(max(wait, 20*time.Millisecond))
	}
	return a, p
}
