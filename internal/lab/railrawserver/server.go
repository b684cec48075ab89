package railrawserver

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// StartEarly starts a server on the loopback interface that reads only the header of each request, writes the response, hands over the connection and
// what it has not read of the request, and closes the connection after that. It returns the server's address. The server ends with the test.
func StartEarly(t testing.TB, response string, then func(conn *net.TCPConn, rest io.Reader)) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn), response, then)
		}
	}()
	return lis.Addr().String()
}

func serve(conn *net.TCPConn, response string, then func(conn *net.TCPConn, rest io.Reader)) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var h fasthttp.RequestHeader
	if h.Read(reader) != nil {
		return // Without a request, the caller gets no response and reports that.
	}
	if _, err := io.WriteString(conn, response); err != nil {
		return
	}
	then(conn, reader)
}
