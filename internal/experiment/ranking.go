package experiment

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// CheckRanking compares arms by the mean of a metric over their valid runs, greater being better, and writes each
// with its paired difference from the one before. It returns an error if the order is not the expected one, best
// first.
func CheckRanking(out io.Writer, records []*Record, metric Metric, expected []string) error {
	var text bytes.Buffer
	means, err := writeRanking(&text, records, metric, expected)
	if _, writeErr := text.WriteTo(out); writeErr != nil {
		return writeErr
	}
	if err != nil {
		return err
	}
	ranking := slices.Clone(expected)
	slices.SortStableFunc(ranking, func(a, b string) int { return cmp.Compare(means[b], means[a]) })
	if !slices.Equal(ranking, expected) {
		return fmt.Errorf("the emulator ranks %v, where %v is known", ranking, expected)
	}
	return nil
}

// writeRanking writes the rows of the arms and returns the mean of each.
func writeRanking(out *bytes.Buffer, records []*Record, metric Metric, arms []string) (map[string]float64, error) {
	means := map[string]float64{}
	for i, arm := range arms {
		var values []float64
		for _, record := range validOf(records, arm) {
			values = append(values, record.Metrics()[metric.Key])
		}
		if len(values) == 0 {
			return nil, fmt.Errorf("arm %q has no valid run", arm)
		}
		means[arm] = stat.Mean(values, nil)
		fmt.Fprintf(out, "| %s | %.4f |", arm, means[arm])
		if i == 0 {
			fmt.Fprintln(out)
			continue
		}
		differences, err := Compare(records, arms[i-1], arm)
		if err != nil {
			return nil, err
		}
		for _, d := range differences {
			if d.Metric == metric {
				fmt.Fprintf(out, " %+.4f ± %.4f against %s\n", d.Mean, d.HalfWidth, arms[i-1])
			}
		}
	}
	return means, nil
}
