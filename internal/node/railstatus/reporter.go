package railstatus

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Reporter serves a process's status report to operators' commands. Its exported field must be set before first use.
type Reporter[R any] struct {
	railproto.DRPCNodeUnimplementedServer

	// Report returns the process's current report.
	Report func() R
}

// Status returns the report as JSON, or an error if it can't be encoded.
func (r *Reporter[R]) Status(context.Context, *railproto.StatusRequest) (*railproto.StatusReply, error) {
	return Reply(r.Report())
}

// Reply returns a report as a reply to Status, or an error if it can't be encoded.
func Reply[R any](report R) (*railproto.StatusReply, error) {
	content, err := json.Marshal(report)
	return &railproto.StatusReply{Json: content}, errors.Wrap(err, "encode the report")
}
