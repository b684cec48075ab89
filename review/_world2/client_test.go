package world2

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	clientDeadline = 6 * time.Second
	connectTime    = time.Second
)

// outcome is how a client attempt has ended. served is set if the whole answer of an engine came with its seal.
type outcome struct {
	status     int
	served     bool
	retryAfter time.Duration
	err        error
}

// tally counts the requests of one phase.
type tally struct {
	sent, served, refused, failed atomic.Int64
}

func (t *tally) String() string {
	return fmt.Sprintf("sent %d, served %d, refused %d, failed %d", t.sent.Load(), t.served.Load(), t.refused.Load(), t.failed.Load())
}

func (t *tally) share() float64 {
	return float64(t.served.Load()) / float64(max(t.sent.Load(), 1))
}

// sending is when a client attempt was sent, and with which key.
type sending struct {
	at  time.Time
	key string
}

const usualKey = "key-of-box-office"

var requestCount atomic.Int64

// noteSent records when a client attempt was sent, and with which key.
func (w *world) noteSent(id, key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[id] = sending{at: time.Now(), key: key}
}

// sentBy returns when a client attempt was sent, and with which key.
func (w *world) sentBy(id string) sending {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent[id]
}

// request sends a request and repeats it once, as the sheet's clients do: after a refusal, when it says so, at another connection.
func (w *world) request(t *tally, key string) {
	t.sent.Add(1)
	until := time.Now().Add(clientDeadline)
	o := w.attempt(until, key)
	if !o.served && o.retryAfter <= time.Until(until)/3 {
		time.Sleep(o.retryAfter)
		o = w.attempt(until, key)
	}
	switch {
	case o.served:
		t.served.Add(1)
	case o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests:
		t.refused.Add(1)
	default:
		t.failed.Add(1)
	}
}

// attempt makes one client attempt at a machine that is in rotation.
func (w *world) attempt(until time.Time, key string) outcome {
	m := w.pick()
	if m == nil {
		return outcome{err: fmt.Errorf("no machine is in rotation")}
	}
	id := fmt.Sprintf("%016x", requestCount.Add(1))
	w.noteSent(id, key)
	o := w.send(m, id, key, until)
	w.record("%s %s to %s with %s: status %d served %v retry-after %s err %v", since(w.began), id, m.name, key, o.status, o.served, o.retryAfter, o.err)
	return o
}

func (w *world) send(m *machine, id, key string, until time.Time) outcome {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, w.ports.front), connectTime)
	if err != nil {
		return outcome{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(until)
	body := "brief of " + id
	_, err = fmt.Fprintf(conn, "POST /brief/ HTTP/1.1\r\nHost: assistant.example\r\nX-Fulmarrail-Request-Id: %s\r\nX-Fulmarrail-Model: %s\r\nX-Fulmarrail-Token-Counts: 300,25\r\n"+
		"X-Fulmarrail-Prompt-Prefix: 5c%x:40,%s:260\r\nX-Fulmarrail-Request-Deadline: %d\r\nAuthorization: Token %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		id, model, rand.IntN(60), id, time.Until(until).Milliseconds(), key, len(body), body)
	if err != nil {
		return outcome{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return outcome{err: err}
	}
	answer, err := io.ReadAll(resp.Body)
	o := outcome{status: resp.StatusCode, err: err}
	whole := err == nil && strings.Count(string(answer), "data: "+id+"\n\n") == eventCount
	o.served = resp.StatusCode == http.StatusOK && strings.HasSuffix(resp.Header.Get(headerPrefix+"Response-Seal"), "."+id) && whole
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		o.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return o
}

// load sends requests at a rate until stop is closed.
func (w *world) load(perSecond int, t *tally, key string, stop <-chan struct{}) {
	ticks := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticks.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticks.C:
			go w.request(t, key)
		}
	}
}
