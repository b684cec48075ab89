package railexecutor

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

var unknownWeightsAnswers = metrics.GetOrCreateCounter("fulmarrail_agent_unknown_weights_answers_total")

// runIntact passes a request to the endpoint, and stops the response before its first frame from weights that are not known to be intact. The
// endpoint may have loaded them since the agent last read which weights it serves, so it gets no further requests until the agent reads that again.
func (e *Executor) runIntact(ctx context.Context, req *railproto.ExecuteRequest, emit func(*railproto.Frame)) (railverdict.Verdict, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	unknownDigest := ""
	verdict, err := e.runContained(ctx, req, func(f *railproto.Frame) {
		if digest := f.GetWeightsDigest(); digest != "" && !e.Intact.Has(digest) {
			unknownDigest = digest
			cancel()
		}
		if unknownDigest == "" {
			emit(f)
		}
	})
	if unknownDigest != "" {
		verdict, err = railverdict.MayHaveRun, errors.Wrapf(railendpoint.ErrUnknownWeights, "weights %s", unknownDigest)
	}
	if errors.Is(err, railendpoint.ErrUnknownWeights) {
		unknownWeightsAnswers.Inc()
		e.Admission.WithdrawWeights()
	}
	return verdict, err
}
