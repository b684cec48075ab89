package railexecutor

import (
	"time"

	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// minParts is the minimum number of parts of a response for a meaningful mean interval.
const minParts = 5

// responseTiming records when the parts of a response, which are its data frames, arrive relative to the start of the request.
type responseTiming struct {
	firstPart, lastPart time.Duration
	parts               int
}

// record records a frame that arrived the given time after the start of the request.
func (t *responseTiming) record(f *railproto.Frame, elapsed time.Duration) {
	if f.GetKind() != railproto.FrameKind_FRAME_KIND_DATA {
		return
	}
	if t.parts == 0 {
		t.firstPart = elapsed
	}
	t.parts++
	t.lastPart = elapsed
}

// meanInterval returns the mean time between parts, or 0 for a response of fewer than minParts parts.
func (t *responseTiming) meanInterval() time.Duration {
	if t.parts < minParts {
		return 0
	}
	return (t.lastPart - t.firstPart) / time.Duration(t.parts-1)
}
