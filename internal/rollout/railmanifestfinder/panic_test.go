package railmanifestfinder_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Guards against one response with a manifest that ends the process of its receiver.
func TestPanicAtOneSourceIsAFailedQuery(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newCluster(func(int) (railmanifest.Manifest, error) { return railmanifest.Manifest{}, errors.New("away") })
		f := c.finders["agent-00"]
		var panics atomic.Int64
		f.RequestManifest = func(context.Context, railmember.Member, *railproto.ManifestRequest) (*railproto.ManifestReply, error) {
			panics.Add(1)
			panic("at a response")
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, _, err := f.Find(ctx, "m", version)
		qt.Check(t, err, qt.IsNotNil)
		qt.Check(t, panics.Load() > 0, qt.IsTrue)
	})
}
