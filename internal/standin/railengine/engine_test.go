package railengine_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtual"
	"github.com/fulmarrail/fulmarrail/internal/standin/railengine"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

func run(c *qt.C, e *railengine.Engine, id int, body string) {
	req := &railproto.ExecuteRequest{RequestId: fmt.Sprint(id), Body: []byte(body)}
	_, err := e.Run(c.Context(), req, func(*railproto.Frame) {})
	c.Check(err, qt.IsNil)
}

// serving returns an engine with weights in service.
func serving(c *qt.C, e *railengine.Engine) *railengine.Engine {
	e.ColdCapacity, e.WarmCapacity = 8, 8
	c.Assert(e.LoadWeights(c.Context(), []byte(`{"version": "v1"}`), 1), qt.IsNil)
	return e
}

func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := serving(c, &railengine.Engine{PrefixCacheSize: 2, EventLag: time.Minute, EventLossInterval: 3, FirstToken: time.Millisecond})
		for i := range 4 { // Four are kept, two of them evicted.
			run(c, e, i, fmt.Sprintf(`{"n": %d, "maxTokens": 1}`, i))
		}
		c.Check(e.CacheEvents(0), qt.HasLen, 0)
		time.Sleep(time.Minute)
		var sequences []uint64
		for _, event := range e.CacheEvents(1) {
			sequences = append(sequences, event.Sequence)
		}
		c.Check(sequences, qt.DeepEquals, []uint64{2, 4, 5})
	})
}

func TestLoadReportLags(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := serving(c, &railengine.Engine{LoadReportLag: 2 * time.Second, FirstToken: 3 * time.Second})
		go run(c, e, 1, `{"maxTokens": 1}`)
		time.Sleep(time.Second)
		c.Check(e.Running(), qt.Equals, 1)
		c.Check(e.ReportedLoad(), qt.Equals, 0)
		time.Sleep(1500 * time.Millisecond)
		c.Check(e.ReportedLoad(), qt.Equals, 1)
		time.Sleep(time.Second)
		c.Check(e.Running(), qt.Equals, 0)
		c.Check(e.ReportedLoad(), qt.Equals, 1)
		time.Sleep(2 * time.Second)
		c.Check(e.ReportedLoad(), qt.Equals, 0)
	})
}

func TestOrdersWithOldFencingNumbersAreRefusedUnlessTheEngineIgnoresThem(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		c := qt.New(t)
		e := serving(c, &railengine.Engine{IgnoresFence: ignores})
		c.Check(e.SetRole("prefill", 5), qt.IsNil)
		if ignores {
			c.Check(e.LoadAdapter("festival", 4), qt.IsNil)
		} else {
			c.Check(e.LoadAdapter("festival", 4), qt.ErrorIs, railendpoint.ErrStaleFence)
		}
		c.Check(e.SetRole("sleep", 6), qt.ErrorMatches, "unknown role.*")
		role, adapters := e.Role()
		c.Check(role, qt.Equals, "prefill")
		c.Check(len(adapters) == 1, qt.Equals, ignores)
	}
}

func TestKeptPrefixMovesOnlyBetweenEnginesOfTheSameWeights(t *testing.T) {
	c := qt.New(t)
	body := `{"maxTokens": 1}`
	from := serving(c, &railengine.Engine{PrefixCacheSize: 2, CacheHitFactor: 0.5})
	run(c, from, 1, body)
	exported, err := from.ExportKV(body)
	c.Assert(err, qt.IsNil)
	to := serving(c, &railengine.Engine{PrefixCacheSize: 2, CacheHitFactor: 0.5})
	c.Assert(to.ImportKV(body, exported), qt.IsNil)
	run(c, to, 1, body)
	c.Check(to.PrefixHits(), qt.Equals, 1)
	other := &railengine.Engine{ColdCapacity: 8, WarmCapacity: 8, PrefixCacheSize: 2}
	c.Assert(other.LoadWeights(c.Context(), []byte(`{"version": "v1", "size": 1}`), 1), qt.IsNil)
	c.Check(other.ImportKV(body, exported), qt.ErrorMatches, ".*other weights")
}
