package railport

import (
	"math/rand/v2"
	"net"
	"strconv"
	"testing"
)

const (
	// minPort and maxPort bound the ports. They are below those that the system gives to outgoing connections.
	minPort, maxPort = 20000, 32000
	// claimHost is the loopback address on which a claimed port is kept in use, so that no other test process claims it. No process under
	// test listens there.
	claimHost   = "127.255.255.254"
	maxAttempts = 1000
)

// Claim returns the first of n consecutive ports that are free for TCP and UDP on all hosts. Nothing else that calls Claim, in any process, gets
// them before the test ends. It fails the test if there are none.
func Claim(t testing.TB, n int, hosts ...string) int {
	t.Helper()
	for range maxAttempts {
		first := minPort + rand.IntN(maxPort-minPort-n)
		if claim(t, first, n, hosts) {
			return first
		}
	}
	t.Fatalf("no %d consecutive ports are free between %d and %d", n, minPort, maxPort)
	return 0
}

// claim claims n ports until the test ends, or none of them.
func claim(t testing.TB, first, n int, hosts []string) bool {
	t.Helper()
	var claims []net.Listener
	release := func() {
		for _, lis := range claims {
			_ = lis.Close()
		}
	}
	for port := first; port < first+n; port++ {
		lis, err := net.Listen("tcp", net.JoinHostPort(claimHost, strconv.Itoa(port)))
		if err != nil {
			release()
			return false
		}
		claims = append(claims, lis)
		if !isFree(port, hosts) {
			release()
			return false
		}
	}
	t.Cleanup(release)
	return true
}

// isFree reports whether a process can listen on a port of all hosts.
func isFree(port int, hosts []string) bool {
	for _, host := range hosts {
		address := net.JoinHostPort(host, strconv.Itoa(port))
		lis, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = lis.Close()
		conn, err := net.ListenPacket("udp", address)
		if err != nil {
			return false
		}
		_ = conn.Close()
	}
	return true
}
