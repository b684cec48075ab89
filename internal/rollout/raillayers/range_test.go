package raillayers_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/rollout/raillayers"
)

func TestPiecesOfLayers(t *testing.T) {
	for name, test := range map[string]struct {
		layers                raillayers.Range
		layerCount, count     int
		wantFirst, wantEnd    int
		containedInFirstThree bool
	}{
		"all layers":           {raillayers.Range{From: 0, End: 16}, 16, 96, 0, 96, false},
		"the last layer":       {raillayers.Range{From: 15, End: 16}, 16, 96, 90, 96, false},
		"a shared first piece": {raillayers.Range{From: 1, End: 2}, 3, 8, 2, 6, true},
		"a shared last piece":  {raillayers.Range{From: 0, End: 1}, 3, 8, 0, 3, true},
		"no layers":            {raillayers.Range{}, 16, 96, 0, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			first, end := test.layers.Pieces(test.layerCount, test.count)
			qt.Check(t, first, qt.Equals, test.wantFirst)
			qt.Check(t, end, qt.Equals, test.wantEnd)
			qt.Check(t, raillayers.Range{From: 0, End: 3}.Contains(test.layers), qt.Equals, test.containedInFirstThree)
		})
	}
}
