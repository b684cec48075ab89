package railgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
)

const (
	firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	// requestTimeout is the time that callers and routes allow.
	requestTimeout = 20 * time.Second
)

// rawEngine is a fake engine that writes raw bytes in response to each request. It serves one request on a connection.
type rawEngine struct {
	name string
	// respond writes the response to a request.
	respond func(conn *net.TCPConn, r *http.Request)
	// early is set if the engine leaves the request's body to respond.
	early bool

	arrivals atomic.Int64
}

// newRawDeployment returns a deployment with the engines behind it. The first one is preferred.
func newRawDeployment(t *testing.T, engines ...*rawEngine) *deployment {
	t.Helper()
	var list []railinstance.Instance
	for i, e := range engines {
		lis := listen(t)
		t.Cleanup(func() { _ = lis.Close() })
		go e.serve(lis)
		region := ""
		if i > 0 {
			region = "far"
		}
		list = append(list, railinstance.Instance{
			ID: e.name, Service: "desk", Address: lis.Addr().String(), Slots: 6, Zone: region, Region: region, WeightsVersion: int64(1 + i),
		})
	}
	d := newDeployment(t)
	d.gateway.Fleet.SetInstances(list)
	return d
}

func (e *rawEngine) serve(lis net.Listener) {
	for {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			if !e.early {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			e.arrivals.Add(1)
			e.respond(conn.(*net.TCPConn), r)
		}()
	}
}

// respondRaw returns a response of an engine that writes a status line and headers, and a body with its length. ID stands for the
// header with the request's ID.
func respondRaw(status int, headers, body string) func(*net.TCPConn, *http.Request) {
	return func(conn *net.TCPConn, r *http.Request) {
		headers := strings.ReplaceAll(headers, "ID", idHeader+": "+r.Header.Get(idHeader))
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Text\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	}
}

// Guards against callers that are told that a request was not run, and against requests that run twice, since an engine refused without
// stating that it did not run the request.
func TestRefusalCountsOnlyWithProofForThisRequest(t *testing.T) {
	const notRun = notRunHeader + ": 1\r\n"
	for name, c := range map[string]struct {
		path       string
		respond    func(*net.TCPConn, *http.Request)
		status     int
		farArrives int64
	}{
		"503 with proof":                       {"/unsafe/x", respondRaw(503, "ID\r\n"+notRun, "full"), 200, 1},
		"503 with proof on its own connection": {"/unsafe/x", respondRaw(503, notRun, "full"), 200, 1},
		"421":                                  {"/unsafe/x", respondRaw(421, "ID\r\n", "other"), 200, 1},
		"503 for another request":              {"/unsafe/x", respondRaw(503, idHeader+": other\r\n"+notRun, "full"), 502, 0},
		"421 for another request":              {"/unsafe/x", respondRaw(421, idHeader+": other\r\n", "other"), 502, 0},
		"503 without proof":                    {"/unsafe/x", respondRaw(503, "ID\r\n", "full"), 502, 0},
		"429 without proof":                    {"/unsafe/x", respondRaw(429, "ID\r\n", "full"), 502, 0},
		"408 without proof":                    {"/unsafe/x", respondRaw(408, "ID\r\n", "late"), 502, 0},
		"429 without proof to a safe request":  {"/safe/x", respondRaw(429, "ID\r\n", "full"), 200, 1},
	} {
		t.Run(name, func(t *testing.T) {
			near := &rawEngine{name: "near", respond: c.respond}
			far := &rawEngine{name: "far", respond: respondRaw(200, "ID\r\n"+sealHeader+": seal\r\n", "done")}
			got := newRawDeployment(t, near, far).call(t, c.path, validKey)
			qt.Check(t, got.err, qt.IsNil)
			qt.Check(t, got.status, qt.Equals, c.status)
			qt.Check(t, near.arrivals.Load(), qt.Equals, int64(1))
			qt.Check(t, far.arrivals.Load(), qt.Equals, c.farArrives)
		})
	}
}

// Guards against requests that count as not run since their engine wrote a refusal after the response to an earlier request.
func TestStrayRefusalIsNotTakenForAnotherRequest(t *testing.T) {
	closed := make(chan struct{}, 2)
	near := &rawEngine{name: "near", respond: func(conn *net.TCPConn, r *http.Request) {
		respondRaw(200, "ID\r\n"+sealHeader+": seal\r\n", "done")(conn, r)
		respondRaw(503, "ID\r\n"+notRunHeader+": 1\r\n", "full")(conn, r)
		_, _ = io.Copy(io.Discard, conn)
		closed <- struct{}{}
	}}
	far := &rawEngine{name: "far", respond: respondRaw(200, "ID\r\n"+sealHeader+": seal\r\n", "done")}
	d := newRawDeployment(t, near, far)
	for i := range int64(2) {
		got := d.call(t, "/unsafe/x", validKey)
		qt.Check(t, got.status, qt.Equals, http.StatusOK)
		qt.Check(t, got.body, qt.Equals, "done")
		qt.Assert(t, near.arrivals.Load(), qt.Equals, i+1)
		<-closed
	}
	qt.Check(t, far.arrivals.Load(), qt.Equals, int64(0))
}

// respondBrokenStream returns a response with a stream that has the events 1 and 2 and ends too early. Further bytes are written in place
// of the next chunk, or without chunks.
func respondBrokenStream(chunked bool, rest string) func(*net.TCPConn, *http.Request) {
	headers, body := "", firstEvents
	if chunked {
		headers = "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n", len(firstEvents), firstEvents)
	}
	return func(conn *net.TCPConn, r *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nContent-Type: text/event-stream\r\n%s\r\n%s%s",
			idHeader, r.Header.Get(idHeader), sealHeader, headers, body, rest)
	}
}

// Guards against callers that find the text or the header of an error in their stream, or a stream that ends as if it were complete,
// since the engine at which a broken stream was to be resumed responded with an error.
func TestErrorAtResumeIsNotPartOfStream(t *testing.T) {
	const (
		sealed = "ID\r\n" + sealHeader + ": seal\r\n"
		head   = "HTTP/1.1 500 Text\r\nContent-Length: 7\r\n\r\nfailure"
	)
	for name, c := range map[string]struct {
		chunked bool
		rest    string
		far     func(*net.TCPConn, *http.Request)
	}{
		"error":                                {true, "", respondRaw(500, sealed, "failure\n\n")},
		"error in events":                      {true, "", respondRaw(500, sealed+"Content-Type: text/event-stream\r\n", "id: 3\ndata: failure\n\n")},
		"refusal":                              {true, "", respondRaw(503, "ID\r\n"+notRunHeader+": 1\r\n", "full\n\n")},
		"error as a success":                   {true, "", respondRaw(200, sealed, "failure\n\n")},
		"events without seal":                  {true, "", respondRaw(200, "ID\r\n", "id: 3\ndata: c\n\n")},
		"bytes that are no response":           {true, "", func(conn *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(conn, "failure\n\n") }},
		"after a break within an event":        {false, "id: 3\nda", respondRaw(500, sealed, "failure\n\n")},
		"after a response in place of a chunk": {true, head + "\n\n", respondRaw(500, sealed, "failure\n\n")},
		"after a response in place of events":  {false, head + "\n\n", respondRaw(500, sealed, "failure\n\n")},
		"after a response within an event":     {false, "id: 3\n" + head + "\n\n", respondRaw(500, sealed, "failure\n\n")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // Some requests wait for another engine.
			far := &rawEngine{name: "far", respond: c.far}
			d := newRawDeployment(t, &rawEngine{name: "near", respond: respondBrokenStream(c.chunked, c.rest)}, far)
			got := d.call(t, "/stream/x", validKey)
			// A reset may drop what the caller has not read yet.
			qt.Check(t, strings.HasPrefix(firstEvents, got.body), qt.IsTrue, qt.Commentf("%q", got.body))
			qt.Check(t, got.err, qt.IsNotNil, qt.Commentf("the stream ended as complete"))
			qt.Check(t, far.arrivals.Load() > 0, qt.IsTrue)
		})
	}
}

// Guards against requests that count as not run, or wait until their deadline, since an engine writes bytes that are no response without
// end.
func TestEndlessBytesCountAsMayHaveRun(t *testing.T) {
	const sealed = "HTTP/1.1 200 OK\r\nID\r\n" + sealHeader + ": seal\r\n"
	for name, c := range map[string]struct {
		path, first, again string
		status             int
		farArrives         int64
	}{
		"bytes":                   {"/unsafe/x", "", "failure", 502, 0},
		"bytes and then nothing":  {"/unsafe/x", "failure", "", 502, 0},
		"header lines":            {"/unsafe/x", "HTTP/1.1 503 Text\r\n" + notRunHeader + ": 1\r\n", "X: y\r\n", 502, 0},
		"informational responses": {"/unsafe/x", "", "HTTP/1.1 103 Text\r\n\r\n", 502, 0},
		"body":                    {"/unsafe/x", sealed + "\r\n", "failure", 502, 0},
		"body for a safe request": {"/safe/x", sealed + "\r\n", "failure", 200, 1},
		"first event":             {"/stream/x", sealed + "\r\nid: 1\n", "data: failure\n", 200, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan struct{})
			near := &rawEngine{name: "near", respond: func(conn *net.TCPConn, r *http.Request) {
				defer close(closed)
				_, err := io.WriteString(conn, strings.ReplaceAll(c.first, "ID\r", idHeader+": "+r.Header.Get(idHeader)+"\r"))
				for again := strings.Repeat(c.again, 100); err == nil && again != ""; {
					_, err = io.WriteString(conn, again)
				}
				_, _ = io.Copy(io.Discard, conn)
			}}
			far := &rawEngine{name: "far", respond: respondRaw(200, "ID\r\n"+sealHeader+": seal\r\n", "id: 1\ndata: a\n\n")}
			start := time.Now()
			got := newRawDeployment(t, near, far).call(t, c.path, validKey)
			qt.Check(t, got.err, qt.IsNil)
			qt.Check(t, got.status, qt.Equals, c.status)
			qt.Check(t, time.Since(start) < requestTimeout, qt.IsTrue)
			qt.Check(t, far.arrivals.Load(), qt.Equals, c.farArrives)
			qt.Assert(t, near.arrivals.Load(), qt.Equals, int64(1))
			<-closed
		})
	}
}

// Guards against callers that get a part of a body as a success, since its response had no length, and its connection was reset, or it
// was not clear on its length.
func TestResponseWithoutClearEndIsNotASuccess(t *testing.T) {
	const sealed = "HTTP/1.1 200 OK\r\n" + sealHeader + ": seal\r\n"
	for name, c := range map[string]struct {
		path, response string
		reset          bool
		status         int
		body           string
	}{
		"closed":                           {"/unsafe/x", sealed + "\r\nsome", false, 200, "some"},
		"reset":                            {"/unsafe/x", sealed + "\r\nsome", true, 502, ""},
		"reset of a safe request":          {"/safe/x", sealed + "\r\nsome", true, 200, "done"},
		"length and chunks":                {"/unsafe/x", sealed + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n0\r\n\r\n", false, 502, ""},
		"two lengths of a safe request":    {"/safe/x", sealed + "Content-Length: 4\r\nContent-Length: 2\r\n\r\nsome", false, 200, "done"},
		"refusal with a length and chunks": {"/unsafe/x", "HTTP/1.1 503 Text\r\n" + notRunHeader + ": 1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, 502, ""},
	} {
		t.Run(name, func(t *testing.T) {
			near := &rawEngine{name: "near", respond: func(conn *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(conn, c.response)
				if c.reset {
					_ = conn.SetLinger(0)
				}
			}}
			far := &rawEngine{name: "far", respond: respondRaw(200, "ID\r\n"+sealHeader+": seal\r\n", "done")}
			got := newRawDeployment(t, near, far).call(t, c.path, validKey)
			qt.Check(t, got.err, qt.IsNil)
			qt.Check(t, got.status, qt.Equals, c.status)
			if c.status == http.StatusOK {
				qt.Check(t, got.body, qt.Equals, c.body)
			}
		})
	}
}

// Guards against a stream without a length that counts as complete, or goes on with a part of an event, after it broke off.
func TestStreamWithoutLengthResumesAfterItBroke(t *testing.T) {
	for name, c := range map[string]struct {
		rest       string
		reset      bool
		want       string
		farArrives int64
	}{
		"closed after an event":  {"", false, firstEvents, 0},
		"closed within an event": {"id: 3\ndata: x", false, firstEvents + "id: 3\ndata: c\n\n", 1},
		"closed before its end":  {"id: 3\ndata: x\n", false, firstEvents + "id: 3\ndata: c\n\n", 1},
		"reset after an event":   {"", true, firstEvents + "id: 3\ndata: c\n\n", 1},
	} {
		t.Run(name, func(t *testing.T) {
			relayed := make(chan struct{})
			near := &rawEngine{name: "near", respond: func(conn *net.TCPConn, r *http.Request) {
				respondBrokenStream(false, c.rest)(conn, r)
				if c.reset {
					<-relayed // A reset drops what the gateway has not read yet.
					_ = conn.SetLinger(0)
				}
			}}
			far := &rawEngine{name: "far", respond: respondRaw(200, "ID\r\n"+sealHeader+": seal\r\n", "id: 3\ndata: c\n\n")}
			body := newRawDeployment(t, near, far).openStream(t)
			first := make([]byte, len(firstEvents))
			_, err := io.ReadFull(body, first)
			qt.Assert(t, err, qt.IsNil)
			close(relayed)
			rest, err := io.ReadAll(body)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, string(first)+string(rest), qt.Equals, c.want)
			qt.Check(t, far.arrivals.Load(), qt.Equals, c.farArrives)
		})
	}
}

// openStream sends a request for a stream and returns the response's body.
func (d *deployment) openStream(t *testing.T) io.Reader {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, d.url+"/stream/x", nil)
	qt.Assert(t, err, qt.IsNil)
	req.Host = "host.example"
	req.Header.Set(idHeader, "id-1")
	req.Header.Set("Authorization", "Token "+validKey)
	resp, err := http.DefaultTransport.RoundTrip(req)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp.Body
}
