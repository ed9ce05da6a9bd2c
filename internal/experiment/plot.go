package experiment

import (
	"fmt"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"fernbeam.example/fernbeam/internal/emulator"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// chart is a plot with a line for each arm.
type chart struct {
	name   string // file name without extension
	plot   *plot.Plot
	points func(runs []*Record) plotter.XYs
}

// Plot draws plots of the valid records into a directory and returns the paths of the files. The first plot shows, by
// second, the fraction of the requested value that was served in time, over all seeds of each arm. The second shows,
// for each arm, the highest load of each server in slow start, as a fraction of the overload limit. The third shows, by
// second, the least view of the sampled agents. The format is a file extension that gonum/plot supports, such as "svg"
// or "png".
func Plot(records []*Record, directory, format string) (files []string, err error) {
	charts := []chart{serviceChart(), slowStartChart(), viewsChart()}
	for i, arm := range Arms(records) {
		runs := validOf(records, arm)
		for _, c := range charts {
			if err := addLine(c.plot, i, arm, c.points(runs)); err != nil {
				return nil, err
			}
		}
	}
	for _, c := range charts {
		path := filepath.Join(directory, c.name+"."+format)
		if err := c.plot.Save(plotWidth, plotHeight, path); err != nil {
			return files, fmt.Errorf("%s: %w", path, err)
		}
		files = append(files, path)
	}
	return files, nil
}

// newPlot returns an empty plot with a title and labels for its axes.
func newPlot(title, xLabel, yLabel string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = xLabel
	p.Y.Label.Text = yLabel
	return p
}

// serviceChart returns the chart of the value served in time by second.
func serviceChart() chart {
	p := newPlot("service by second", "second", "value served in time, of the requested")
	p.Y.Min = 0
	p.Y.Max = 1
	return chart{name: "service", plot: p, points: servicePoints}
}

// slowStartChart returns the chart of the highest load in slow start by server.
func slowStartChart() chart {
	const title = "highest load in slow start (1: the server becomes overloaded)"
	return chart{name: "cold", plot: newPlot(title, "server, by load", "fraction of limit"), points: slowStartPoints}
}

// viewsChart returns the chart of the least membership view by second.
func viewsChart() chart {
	p := newPlot("least view of the sampled agents", "second", "agents seen")
	return chart{name: "views", plot: p, points: viewPoints}
}

// servicePoints returns, for each second, the fraction of the requested value that was served in time over all runs.
func servicePoints(runs []*Record) (points plotter.XYs) {
	var totals []emulator.SecondTotals
	for _, run := range runs {
		for i, second := range run.Result.Seconds {
			if i == len(totals) {
				totals = append(totals, emulator.SecondTotals{})
			}
			totals[i].Requested += second.Requested
			totals[i].InTime += second.InTime
		}
	}
	for i, total := range totals {
		if total.Requested > 0 {
			points = append(points, plotter.XY{X: float64(i), Y: total.InTime / total.Requested})
		}
	}
	return points
}

// slowStartPoints returns the highest loads of servers in slow start over all runs, in ascending order.
func slowStartPoints(runs []*Record) (points plotter.XYs) {
	var loads []float64
	for _, run := range runs {
		for _, server := range run.Result.Servers {
			if server.SlowStartLoad > 0 {
				loads = append(loads, server.SlowStartLoad)
			}
		}
	}
	slices.Sort(loads)
	for i, load := range loads {
		points = append(points, plotter.XY{X: float64(i), Y: load})
	}
	return points
}

// viewPoints returns, for each second, the mean of the least views over the runs.
func viewPoints(runs []*Record) (points plotter.XYs) {
	var sums, counts []float64
	for _, run := range runs {
		for i, view := range run.Views {
			if i == len(sums) {
				sums = append(sums, 0)
				counts = append(counts, 0)
			}
			sums[i] += float64(view.least())
			counts[i]++
		}
	}
	for i := range sums {
		points = append(points, plotter.XY{X: float64(i), Y: sums[i] / counts[i]})
	}
	return points
}

// addLine adds a line with the color and dash pattern of an index, or nothing if there are no points.
func addLine(p *plot.Plot, index int, name string, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(index)
	line.Dashes = plotutil.Dashes(index)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}
