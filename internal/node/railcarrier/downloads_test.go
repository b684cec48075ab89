package railcarrier

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtual"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railpacer"
)

// While the origin is down its chunks are asked for again and again; what never came must not hold the other chunks up.
func TestDrawsThatFailTakeNothingOfTheLink(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		const chunk, rate = 24_576, 840_000
		backend := railbackend.Backend{Name: "engines", Engine: &railbackend.Engine{Model: "m", ChunkBytes: chunk}}
		catalog := railcatalog.Catalog{}.WithBackends([]railbackend.Backend{backend})
		c := &Carrier{
			Self:    railmember.Member{Name: "10.0.0.1", Service: "engines"},
			Catalog: func() (railcatalog.Catalog, bool) { return catalog, true },
		}
		pacer := &railpacer.Pacer{Burst: burst}
		pacer.SetPace(rate, 0)
		download := c.admitDownloads(pacer)
		for range 200 {
			done, err := download(t.Context(), true)
			qt.Assert(t, err, qt.IsNil)
			done(0)
		}
		began := time.Now()
		_, err := download(t.Context(), false)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, time.Since(began) < 100*time.Millisecond, qt.IsTrue, qt.Commentf("held up for %s", time.Since(began)))
	})
}
