package world

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	orderService = "wuno96b"
	orderHost    = "voka93.example"
	goodKey      = "jnbanfqasnmgkcuyj8pj"
	// revokedKey is the key that is taken away in some cases.
	revokedKey   = "bvk9m68k7b2ex5wa5xwy"
	maxBodyBytes = 4194304
	// revokeTime is revoke-ms.
	revokeTime = 5 * time.Second
)

// newOrderEngine returns an engine of the order service, with the slots and the queue that the site file gives it.
func newOrderEngine(w *world, id string) *plainEngine {
	return &plainEngine{w: w, id: id, service: orderService, zone: zoneA, slots: 6, queue: 24, work: 15 * time.Millisecond}
}

// orderConfig returns a configuration with one route of the kind unsafe, and one tenant with the given keys.
func orderConfig(version int, keys ...string) map[string]any {
	if keys == nil {
		keys = []string{}
	}
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-1", "host": orderHost, "prefix": "/filo73/", "kind": "unsafe", "timeout-ms": 6000, "target-latency-ms": 100,
			"priority": 2, "service": orderService, "attempts": 1, "public": false, "sticky": false, "resumable": false, "allowed-regions": []string{},
		}},
		"services": []any{map[string]any{
			"name": orderService, "health-check-path": "/health", "connection-limit": 110, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0,
		}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": maxBodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "bozi300", "api-keys": keys, "priority": 1, "allowed-regions": []string{}}},
	}
}

// caller is a client with one connection that is kept for several requests.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialCaller(address string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *caller) close() { _ = c.conn.Close() }

// order sends an order and returns the status of its answer.
func (c *caller) order(id, key string, body []byte) (int, error) {
	_ = c.conn.SetDeadline(time.Now().Add(8 * time.Second))
	sent := make(chan error, 1)
	go func() {
		_, err := fmt.Fprintf(c.conn, "POST /filo73/de11/2f HTTP/1.1\r\nHost: %s\r\nX-Fulmarrail-Request-Id: %s\r\nX-Fulmarrail-Request-Deadline: 6000\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n", orderHost, id, key, len(body))
		if err == nil {
			_, err = c.conn.Write(body)
		}
		sent <- err
	}()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	<-sent
	return resp.StatusCode, err
}

// orderOnce sends an order on a connection of its own.
func orderOnce(address, id, key string) (int, error) {
	c, err := dialCaller(address)
	if err != nil {
		return 0, err
	}
	defer c.close()
	return c.order(id, key, []byte("an order"))
}
