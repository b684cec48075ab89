package railburnreport

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/fulmarrail/fulmarrail/internal/report/railentryreport"
)

const (
	// An objective burns fast or slowly if its burn rates over both the short and the long window exceed the respective limit.
	fastBurnRate     = 14.4
	slowBurnRate     = 6
	fastShortMinutes = 5
	fastLongMinutes  = 60
	slowShortMinutes = 30
	slowLongMinutes  = 6 * 60
	budgetMinutes    = 3 * 24 * 60

	stateOK   = "ok"
	stateFast = "fast burn"
	stateSlow = "slow burn"
	stateIdle = "no requests"

	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 10
)

type window struct {
	Minutes int     `json:"minutes"`
	Good    uint64  `json:"good"`
	Bad     uint64  `json:"bad"`
	Burn    float64 `json:"burn"`
}

type objective struct {
	Name       string   `json:"name"`
	Service    string   `json:"service"`
	Customer   string   `json:"customer,omitempty"`
	Target     float64  `json:"target"`
	State      string   `json:"state"`
	BudgetLeft float64  `json:"budgetLeft"`
	Windows    []window `json:"windows"`
}

// Report holds the burn rates of each objective over all entries that responded.
type Report struct {
	Objectives []objective `json:"objectives"`
	Entries    []string    `json:"entries"`
	// Missing lists the entries that did not respond, whose requests are not counted.
	Missing []string `json:"missing,omitempty"`
}

// New merges the reports of entries; missing lists the names of entries that did not respond.
func New(entries []railentryreport.Report, missing []string) Report {
	r := Report{Missing: missing}
	merged := map[string]*objective{}
	for _, e := range entries {
		r.Entries = append(r.Entries, e.Name)
		for _, o := range e.Objectives {
			m := merged[o.Name]
			if m == nil {
				m = &objective{Name: o.Name, Service: o.Service, Customer: o.Customer, Target: o.Target}
				merged[o.Name] = m
			}
			for _, w := range o.Windows {
				m.addCounts(w.Minutes, w.Good, w.Bad)
			}
		}
	}
	for _, m := range merged {
		m.evaluate()
		r.Objectives = append(r.Objectives, *m)
	}
	slices.SortFunc(r.Objectives, func(a, b objective) int { return strings.Compare(a.Name, b.Name) })
	slices.Sort(r.Entries)
	return r
}

// Burning reports whether any objective consumes its error budget too fast.
func (r Report) Burning() bool {
	return slices.ContainsFunc(r.Objectives, func(o objective) bool { return o.State == stateFast || o.State == stateSlow })
}

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%-24s %-14s %8s %12s %10s", "OBJECTIVE", "SERVICE", "TARGET", "BUDGET LEFT", "STATE")
	for _, minutes := range []int{fastShortMinutes, slowShortMinutes, fastLongMinutes, slowLongMinutes} {
		fmt.Fprintf(w, " %8s", fmt.Sprintf("%dm", minutes))
	}
	fmt.Fprintln(w)
	for _, o := range r.Objectives {
		fmt.Fprintf(w, "%-24s %-14s %7g%% %11.1f%% %10s", o.Name, o.Service, o.Target, 100*o.BudgetLeft, o.State)
		for _, minutes := range []int{fastShortMinutes, slowShortMinutes, fastLongMinutes, slowLongMinutes} {
			fmt.Fprintf(w, " %8.2f", o.burnRate(minutes))
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "counted at: %s\n", strings.Join(r.Entries, ", "))
	if len(r.Missing) > 0 {
		fmt.Fprintf(w, "missing, not counted: %s\n", strings.Join(r.Missing, ", "))
	}
}

// WritePlot draws a bar chart of the burn rates in the given format, svg or png. It fails if there are no objectives.
func (r Report) WritePlot(w io.Writer, format string) error {
	p := plot.New()
	p.Title.Text = "Burn rate by objective (1 spends the budget exactly)"
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	var names []string
	for _, o := range r.Objectives {
		names = append(names, o.Name)
	}
	for k, minutes := range []int{fastShortMinutes, fastLongMinutes, slowLongMinutes} {
		values := make(plotter.Values, len(r.Objectives))
		for i, o := range r.Objectives {
			values[i] = o.burnRate(minutes)
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return errors.Wrap(err, "draw the burn rates; the configuration may have no objectives")
		}
		bars.Offset = vg.Points(float64(k-1) * barWidth)
		bars.Color = windowColors[k]
		p.Add(bars)
		p.Legend.Add(fmt.Sprintf("last %d minutes", minutes), bars)
	}
	p.Legend.Top = true
	p.NominalX(names...)
	image, err := p.WriterTo(plotWidth, plotHeight, format)
	if err != nil {
		return errors.Wrapf(err, "draw the plot as %s", format)
	}
	_, err = image.WriteTo(w)
	return errors.Wrap(err, "write the plot")
}

// addCounts adds the counts of one entry to the window of the given length.
func (o *objective) addCounts(minutes int, good, bad uint64) {
	for i := range o.Windows {
		if o.Windows[i].Minutes == minutes {
			o.Windows[i].Good += good
			o.Windows[i].Bad += bad
			return
		}
	}
	o.Windows = append(o.Windows, window{Minutes: minutes, Good: good, Bad: bad})
}

// evaluate computes the burn rates, the remaining budget and the state. A burn rate of 1 consumes exactly the error budget.
func (o *objective) evaluate() {
	errorBudget := 1 - o.Target/100
	for i := range o.Windows {
		w := &o.Windows[i]
		if total := w.Good + w.Bad; total > 0 {
			w.Burn = float64(w.Bad) / float64(total) / errorBudget
		}
	}
	o.BudgetLeft = 1 - o.burnRate(budgetMinutes)
	switch {
	case o.requests(budgetMinutes) == 0:
		o.State = stateIdle
	case o.burnRate(fastShortMinutes) > fastBurnRate && o.burnRate(fastLongMinutes) > fastBurnRate:
		o.State = stateFast
	case o.burnRate(slowShortMinutes) > slowBurnRate && o.burnRate(slowLongMinutes) > slowBurnRate:
		o.State = stateSlow
	default:
		o.State = stateOK
	}
}

// burnRate returns the burn rate over the window of the given length, or 0 if there is none.
func (o *objective) burnRate(minutes int) float64 {
	for _, w := range o.Windows {
		if w.Minutes == minutes {
			return w.Burn
		}
	}
	return 0
}

// requests returns the number of requests in the window of the given length, or 0 if there is none.
func (o *objective) requests(minutes int) uint64 {
	for _, w := range o.Windows {
		if w.Minutes == minutes {
			return w.Good + w.Bad
		}
	}
	return 0
}
