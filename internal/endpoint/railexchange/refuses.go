package railexchange

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// refusalTimeout limits the wait for a refusal. A VM refuses at once, and one that has lost power never does; but the process that waits may
// itself be held up.
const refusalTimeout = ConnectTimeout

// Refuses reports whether an address refuses connections, as it does after its process has ended. An address that can't be reached does not
// count.
func Refuses(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: refusalTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close() // It was only opened to see whether that is possible.
	return false
}
