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

// Plot draws the records that count into a directory and gives the files' paths: service by
// second (the part of the worth asked for that is served in time, mean over the seeds of each
// arm), for each arm the share of its cold bound that each node started in the run met, and the
// least view of those agents that were asked, by second.
// Format is a file ending that gonum/plot knows, such as "svg" or "png".
func Plot(recs []*Record, dir, format string) (files []string, err error) {
	arms := Arms(recs)
	service := plot.New()
	service.Title.Text = "service by second"
	service.X.Label.Text, service.Y.Label.Text = "second", "worth served in time, of what was asked"
	service.Y.Min, service.Y.Max = 0, 1
	cold := plot.New()
	cold.Title.Text = "most load of cold nodes against their bound (1: falls over)"
	cold.X.Label.Text, cold.Y.Label.Text = "node, by its load", "of its bound"
	views := plot.New()
	views.Title.Text = "least view of the agents that were asked"
	views.X.Label.Text, views.Y.Label.Text = "second", "agents seen"
	for i, arm := range arms {
		if err := addViews(views, i, arm, recs); err != nil {
			return nil, err
		}
		var lines, points plotter.XYs
		sums := map[int]emulator.SecondTotals{}
		var colds []float64
		for _, r := range recs {
			if r.Arm != arm || !r.Valid {
				continue
			}
			for s, sec := range r.Result.Seconds {
				sum := sums[s]
				sum.Requested += sec.Requested
				sum.InTime += sec.InTime
				sums[s] = sum
			}
			for _, n := range r.Result.Servers {
				if n.SlowStartLoad > 0 {
					colds = append(colds, n.SlowStartLoad)
				}
			}
		}
		for s := range len(sums) {
			if sums[s].Requested > 0 {
				lines = append(lines, plotter.XY{X: float64(s), Y: sums[s].InTime / sums[s].Requested})
			}
		}
		for n, c := range slices.Sorted(slices.Values(colds)) {
			points = append(points, plotter.XY{X: float64(n), Y: c})
		}
		if len(lines) > 0 {
			if err := addLine(service, i, arm, lines); err != nil {
				return nil, err
			}
		}
		if len(points) > 0 {
			if err := addLine(cold, i, arm, points); err != nil {
				return nil, err
			}
		}
	}
	for name, p := range map[string]*plot.Plot{"service": service, "cold": cold, "views": views} {
		path := filepath.Join(dir, name+"."+format)
		if err := p.Save(18*vg.Centimeter, 9*vg.Centimeter, path); err != nil {
			return files, fmt.Errorf("%s: %w", path, err)
		}
		files = append(files, path)
	}
	return files, nil
}

// addViews draws, for each second, the mean over an arm's runs of the least view.
func addViews(p *plot.Plot, i int, arm string, recs []*Record) error {
	sums := map[int][2]float64{}
	for _, r := range recs {
		if r.Arm != arm || !r.Valid {
			continue
		}
		for s, v := range r.Views {
			sums[s] = [2]float64{sums[s][0] + float64(v[0]), sums[s][1] + 1}
		}
	}
	var xys plotter.XYs
	for s := range len(sums) {
		xys = append(xys, plotter.XY{X: float64(s), Y: sums[s][0] / sums[s][1]})
	}
	if len(xys) == 0 {
		return nil
	}
	return addLine(p, i, arm, xys)
}

func addLine(p *plot.Plot, i int, name string, xys plotter.XYs) error {
	line, err := plotter.NewLine(xys)
	if err != nil {
		return err
	}
	line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}
