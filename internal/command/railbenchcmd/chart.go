package railbenchcmd

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// lineChart is a line chart with one line per policy or mode.
type lineChart struct {
	title, xLabel, yLabel string
	// logY selects a logarithmic y axis.
	logY bool
	// lineOrder holds the names of the lines in the order of the legend. Lines without points are omitted.
	lineOrder []string
	lines     map[string]plotter.XYs
}

// addPoint adds a point to a line.
func (c *lineChart) addPoint(line string, x, y float64) {
	if c.lines == nil {
		c.lines = map[string]plotter.XYs{}
	}
	c.lines[line] = append(c.lines[line], plotter.XY{X: x, Y: y})
}

// save writes the chart to an .svg or .png file. It returns an error for any other extension.
func (c *lineChart) save(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.title, c.xLabel, c.yLabel
	if c.logY {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	var args []any
	for _, name := range c.lineOrder {
		if len(c.lines[name]) > 0 {
			args = append(args, name, c.lines[name])
		}
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return errors.Wrap(err, "draw the chart")
	}
	p.Legend.Top = true
	p.Legend.Left = true
	return errors.Wrapf(p.Save(plotWidth, plotHeight, path), "write the plot, whose name must end in .svg or .png: %s", path)
}
