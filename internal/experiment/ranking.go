package experiment

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// CheckRanking ranks arms by the mean of a metric over their valid runs, where a greater mean is better. It writes a
// table of the arms in which each has its paired difference from the arm before it. It returns an error if the ranking
// is not the expected one, which lists the best arm first.
func CheckRanking(out io.Writer, records []*Record, metric Metric, expected []string) error {
	table := newTable("arm", metric.String(), "difference from the row above, 95 %")
	means := map[string]float64{}
	for i, arm := range expected {
		mean, err := meanOf(records, arm, metric)
		if err != nil {
			return err
		}
		means[arm] = mean
		difference := ""
		if i > 0 {
			if difference, err = formatDifference(records, metric, expected[i-1], arm); err != nil {
				return err
			}
		}
		table.addRow(arm, fmt.Sprintf("%.4f", mean), difference)
	}
	var text bytes.Buffer
	table.write(&text)
	if _, err := text.WriteTo(out); err != nil {
		return err
	}
	ranking := slices.Clone(expected)
	slices.SortStableFunc(ranking, func(a, b string) int { return cmp.Compare(means[b], means[a]) })
	if !slices.Equal(ranking, expected) {
		return fmt.Errorf("the emulator ranks the arms %v; the expected ranking is %v", ranking, expected)
	}
	return nil
}

// meanOf returns the mean of a metric over an arm's valid runs.
func meanOf(records []*Record, arm string, metric Metric) (float64, error) {
	var values []float64
	for _, record := range validOf(records, arm) {
		values = append(values, record.Metrics()[metric.Key])
	}
	if len(values) == 0 {
		return 0, fmt.Errorf("arm %q has no valid run", arm)
	}
	return stat.Mean(values, nil), nil
}

// formatDifference formats the paired difference in a metric between an arm and a base arm. It returns an empty string
// if no run has the metric.
func formatDifference(records []*Record, metric Metric, base, arm string) (string, error) {
	differences, err := Compare(records, base, arm)
	if err != nil {
		return "", err
	}
	for _, d := range differences {
		if d.Metric == metric {
			return fmt.Sprintf("%+.4f ± %.4f", d.Interval.Mean, d.Interval.HalfWidth), nil
		}
	}
	return "", nil
}
