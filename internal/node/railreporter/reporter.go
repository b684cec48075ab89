package railreporter

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Reporter answers operators' commands with a report; its fields are set before its first use.
type Reporter[R any] struct {
	railproto.DRPCNodeUnimplementedServer

	// Report returns the process's report as of now.
	Report func() R
}

// Status returns the report as JSON.
func (r *Reporter[R]) Status(context.Context, *railproto.StatusRequest) (*railproto.StatusReply, error) {
	return Reply(r.Report())
}

// Reply returns a report as the answer to a call of Status.
func Reply[R any](report R) (*railproto.StatusReply, error) {
	content, err := json.Marshal(report)
	return &railproto.StatusReply{Json: content}, errors.Wrap(err, "encode the report")
}
