package railexchange_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railexchange"
	"github.com/fulmarrail/fulmarrail/internal/lab/railrawserver"
)

const (
	// plays is the number of plays of a case whose outcome depends on whether the sender or the reader finds the reset first.
	plays = 5
	// uploadBytes is more than the buffers of both sockets hold.
	uploadBytes = 4 << 20
	early       = "HTTP/1.1 200 OK\r\n\r\n"
)

// upload sends a request with a body of some bytes and returns the response's exchange.
func upload(t *testing.T, address string, size int) (*railexchange.Exchange, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
	t.Cleanup(cancel)
	req := &fasthttp.Request{}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://host.example/")
	req.SetBodyRaw(make([]byte, size))
	e, _, err := railexchange.Start(ctx, address, req)
	if err == nil {
		t.Cleanup(e.Close)
	}
	return e, err
}

// reset resets the connection, which the endpoint may do some time after its response.
func reset(after time.Duration) func(*net.TCPConn, io.Reader) {
	return func(conn *net.TCPConn, _ io.Reader) {
		time.Sleep(after)
		_ = conn.SetLinger(0)
	}
}

// ended ends the endpoint's sending direction before next.
func ended(next func(*net.TCPConn, io.Reader)) func(*net.TCPConn, io.Reader) {
	return func(conn *net.TCPConn, rest io.Reader) {
		_ = conn.CloseWrite()
		next(conn, rest)
	}
}

// Guards against a part of a body that counts as the whole, since the response had no length, and its connection was reset while the request was still
// being sent, so that only the sender got the error.
func TestEarlyBodyWithoutLengthIsNotCompleteAfterReset(t *testing.T) {
	for response, head := range map[string]string{
		"success":        early,
		"failure":        "HTTP/1.1 404 Not Found\r\n\r\n",
		"older protocol": "HTTP/1.0 200 OK\r\n\r\n",
	} {
		for ending, then := range map[string]func(*net.TCPConn, io.Reader){
			"reset":                          reset(30 * time.Millisecond),
			"closed without reading on":      func(*net.TCPConn, io.Reader) {},
			"closed a moment later":          func(*net.TCPConn, io.Reader) { time.Sleep(30 * time.Millisecond) },
			"ended, then reset":              ended(reset(100 * time.Millisecond)),
			"closed in the middle of a read": func(_ *net.TCPConn, rest io.Reader) { _, _ = io.CopyN(io.Discard, rest, 1<<20) },
			"neither read on nor closed":     func(*net.TCPConn, io.Reader) { time.Sleep(2 * requestTimeout) },
		} {
			t.Run(response+", "+ending, func(t *testing.T) {
				t.Parallel()
				address := railrawserver.StartEarly(t, head+"part", then)
				for range plays {
					e, err := upload(t, address, uploadBytes)
					if err != nil {
						continue // The response was lost with the connection.
					}
					body, err := e.ReadAll(maxBodyBytes, nil)
					qt.Check(t, errors.Is(err, railexchange.ErrTruncated), qt.IsTrue, qt.Commentf("%q, %v", body, err))
					e.Close()
				}
			})
		}
	}
}

// Guards against a stream that ends as if it were complete, since it had no length and was reset between two events while the request was still being
// sent.
func TestEarlyStreamWithoutLengthIsNotCompleteAfterReset(t *testing.T) {
	address := railrawserver.StartEarly(t, early+"id: 1\ndata: a\n\n", reset(30*time.Millisecond))
	for range plays {
		e, err := upload(t, address, uploadBytes)
		qt.Assert(t, err, qt.IsNil)
		events := railexchange.NewEvents(e)
		_, err = events.Next()
		qt.Assert(t, err, qt.IsNil)
		_, err = events.Next()
		qt.Check(t, errors.Is(err, railexchange.ErrTruncated), qt.IsTrue, qt.Commentf("%v", err))
		qt.Check(t, errors.Is(err, io.EOF), qt.IsFalse)
		e.Close()
	}
}

func TestSoundEarlyAnswerIsComplete(t *testing.T) {
	const (
		length  = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
		chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"
	)
	readOn := func(_ *net.TCPConn, rest io.Reader) { _, _ = io.Copy(io.Discard, rest) }
	after := func(pause time.Duration) func(*net.TCPConn, io.Reader) {
		return func(conn *net.TCPConn, rest io.Reader) {
			time.Sleep(pause)
			readOn(conn, rest)
		}
	}
	for name, test := range map[string]struct {
		response string
		then     func(*net.TCPConn, io.Reader)
	}{
		"length":                                {length, readOn},
		"length, reads on later":                {length, after(400 * time.Millisecond)},
		"length, then reset":                    {length, reset(30 * time.Millisecond)},
		"chunks":                                {chunked, readOn},
		"chunks, reads on later":                {chunked, after(400 * time.Millisecond)},
		"after informational":                   {"HTTP/1.1 103 Early Hints\r\n\r\n" + length, after(400 * time.Millisecond)},
		"no length, ended":                      {early + "done", ended(readOn)},
		"no length, ended, reads on later":      {early + "done", ended(after(400 * time.Millisecond))},
		"no length, ended, does not read on":    {early + "done", ended(after(2 * requestTimeout))},
		"no length, ended after it has read on": {early + "done", func(_ *net.TCPConn, rest io.Reader) { _, _ = io.CopyN(io.Discard, rest, uploadBytes) }},
	} {
		for _, size := range []int{0, 100 << 10, 1 << 20, uploadBytes} {
			if size < uploadBytes && name == "no length, ended after it has read on" {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d bytes", name, size), func(t *testing.T) {
				t.Parallel()
				e, err := upload(t, railrawserver.StartEarly(t, test.response, test.then), size)
				qt.Assert(t, err, qt.IsNil)
				body, err := e.ReadAll(maxBodyBytes, nil)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, string(body), qt.Equals, "done")
			})
		}
	}
}
