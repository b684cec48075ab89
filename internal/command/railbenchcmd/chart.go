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

// chart is one line for each way that was tried.
type chart struct {
	title, x, y string
	// logarithmic says that y grows by factors.
	logarithmic bool
	// order holds the names of the lines, of which those without points are left out.
	order []string
	lines map[string]plotter.XYs
}

// add adds a point to a line.
func (c *chart) add(line string, x, y float64) {
	if c.lines == nil {
		c.lines = map[string]plotter.XYs{}
	}
	c.lines[line] = append(c.lines[line], plotter.XY{X: x, Y: y})
}

// save writes the chart to an .svg or .png file.
func (c *chart) save(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.title, c.x, c.y
	if c.logarithmic {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	var args []any
	for _, name := range c.order {
		if len(c.lines[name]) > 0 {
			args = append(args, name, c.lines[name])
		}
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return errors.Wrap(err, "draw the chart")
	}
	p.Legend.Top = true
	p.Legend.Left = true
	return errors.Wrapf(p.Save(plotWidth, plotHeight, path), "write the plot; its name must end in .svg or .png: %s", path)
}
