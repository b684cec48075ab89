package railengine_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/standin/railengine"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

func runRequest(c *qt.C, e *railengine.Engine, id int, body string) {
	req := &railproto.ExecuteRequest{RequestId: fmt.Sprint(id), Body: []byte(body)}
	_, err := e.Run(c.Context(), req, func(*railproto.Frame) {})
	c.Check(err, qt.IsNil)
}

// startServing sets the engine's capacity and loads weights.
func startServing(c *qt.C, e *railengine.Engine) *railengine.Engine {
	e.ColdCapacity, e.WarmCapacity = 8, 8
	c.Assert(e.LoadWeights(c.Context(), []byte(`{"version": "v1"}`), 1), qt.IsNil)
	return e
}

func TestCacheEventsAreDelayedAndSomeAreLost(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := startServing(c, &railengine.Engine{PrefixCacheSize: 2, EventLag: time.Minute, EventLossInterval: 3, FirstToken: time.Millisecond})
		for i := range 4 { // Four prefixes are cached, and two of them evicted.
			runRequest(c, e, i, fmt.Sprintf(`{"n": %d, "maxTokens": 1}`, i))
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

func TestReportedLoadLags(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := startServing(c, &railengine.Engine{LoadReportLag: 2 * time.Second, FirstToken: 3 * time.Second})
		go runRequest(c, e, 1, `{"maxTokens": 1}`)
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

func TestStaleFencingTokensAreRejectedUnlessIgnored(t *testing.T) {
	for _, ignoresFence := range []bool{false, true} {
		c := qt.New(t)
		e := startServing(c, &railengine.Engine{IgnoresFence: ignoresFence})
		c.Check(e.SetRole("prefill", 5), qt.IsNil)
		if ignoresFence {
			c.Check(e.LoadAdapter("festival", 4), qt.IsNil)
		} else {
			c.Check(e.LoadAdapter("festival", 4), qt.ErrorIs, railendpoint.ErrStaleFence)
		}
		c.Check(e.SetRole("sleep", 6), qt.ErrorMatches, "unknown role.*")
		role, adapters := e.Role()
		c.Check(role, qt.Equals, "prefill")
		c.Check(len(adapters) == 1, qt.Equals, ignoresFence)
	}
}

func TestKVCacheImportRequiresSameWeights(t *testing.T) {
	c := qt.New(t)
	body := `{"maxTokens": 1}`
	exporter := startServing(c, &railengine.Engine{PrefixCacheSize: 2, CacheHitFactor: 0.5})
	runRequest(c, exporter, 1, body)
	exported, err := exporter.ExportKV(body)
	c.Assert(err, qt.IsNil)
	importer := startServing(c, &railengine.Engine{PrefixCacheSize: 2, CacheHitFactor: 0.5})
	c.Assert(importer.ImportKV(body, exported), qt.IsNil)
	runRequest(c, importer, 1, body)
	c.Check(importer.PrefixHits(), qt.Equals, 1)
	otherWeights := &railengine.Engine{ColdCapacity: 8, WarmCapacity: 8, PrefixCacheSize: 2}
	c.Assert(otherWeights.LoadWeights(c.Context(), []byte(`{"version": "v1", "size": 1}`), 1), qt.IsNil)
	c.Check(otherWeights.ImportKV(body, exported), qt.ErrorMatches, ".*different weights")
}
