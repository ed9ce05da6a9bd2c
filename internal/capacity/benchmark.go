package capacity

import (
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/perf/benchfmt"
	"golang.org/x/perf/benchmath"
)

// confidence is the confidence level of all intervals in this package.
const confidence = 0.95

// BenchmarkFile is a parsed file of Go benchmark output: samples by benchmark name and unit, and the
// file's configuration lines.
type BenchmarkFile struct {
	Path    string
	Missing bool              // the file does not exist, so nothing was measured
	Config  map[string]string // configuration lines by key, such as "cpu"

	samples map[string]samplesByUnit // by benchmark name, without "Benchmark" and the processor count
}

// samplesByUnit holds the samples of one benchmark, keyed by unit.
type samplesByUnit map[string][]float64

// ReadBenchmarkFile reads a file of benchmark output. For a file that does not exist it
// returns a BenchmarkFile with Missing set. A malformed line or a failed benchmark yields a one-line error that names
// the file and the line.
func ReadBenchmarkFile(path string) (*BenchmarkFile, error) {
	b := &BenchmarkFile{Path: path, Config: map[string]string{}, samples: map[string]samplesByUnit{}}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		b.Missing = true
		return b, nil
	}
	if err != nil {
		return nil, err
	}
	for i, line := range strings.Split(string(text), "\n") {
		if reportsFailure(line) {
			return nil, fmt.Errorf("%s:%d: a benchmark failed: %s", path, i+1, line)
		}
	}
	reader := benchfmt.NewReader(strings.NewReader(string(text)), filepath.Base(path))
	for reader.Scan() {
		switch record := reader.Result().(type) {
		case *benchfmt.SyntaxError:
			return nil, fmt.Errorf("%s:%d: %s", path, record.Line, record.Msg)
		case *benchfmt.Result:
			if err := b.add(record); err != nil {
				_, line := record.Pos()
				return nil, fmt.Errorf("%s:%d: %w", path, line, err)
			}
		}
	}
	return b, reader.Err()
}

// reportsFailure reports whether a line of "go test" output reports a failed test or benchmark.
func reportsFailure(line string) bool {
	return strings.HasPrefix(strings.TrimLeft(line, " "), "--- FAIL") ||
		strings.HasPrefix(line, "FAIL") ||
		strings.HasPrefix(line, "panic: ")
}

// add adds the values and the configuration of one result line.
func (b *BenchmarkFile) add(result *benchfmt.Result) error {
	for _, config := range result.Config {
		if config.File {
			b.Config[config.Key] = string(config.Value)
		}
	}
	name := benchmarkName(result)
	if b.samples[name] == nil {
		b.samples[name] = samplesByUnit{}
	}
	for _, v := range result.Values {
		if math.IsNaN(v.Value) || math.IsInf(v.Value, 0) {
			return fmt.Errorf("%s: %v is not a finite number", v.Unit, v.Value)
		}
		b.samples[name][v.Unit] = append(b.samples[name][v.Unit], v.Value)
	}
	return nil
}

// benchmarkName returns the name of a benchmark with its parameters ("/key=value"), without the
// processor count ("-8") that may follow them.
func benchmarkName(result *benchfmt.Result) string {
	base, parts := result.Name.Parts()
	name := string(base)
	for _, part := range parts {
		if part[0] == '/' {
			name += string(part)
		}
	}
	return name
}

// Estimate is a mean with its 95 % confidence interval.
type Estimate struct {
	Mean      float64
	Interval  Interval
	SingleRun bool // the estimate is from one run, and Interval is the mean itself
	Runs      int
}

// scaled returns the estimate multiplied by factor, to convert its unit.
func (e Estimate) scaled(factor float64) Estimate {
	e.Mean *= factor
	e.Interval.Lo *= factor
	e.Interval.Hi *= factor
	return e
}

// Estimate returns the mean of a benchmark over its runs, and false if it has no samples in that unit.
// The unit is the one that benchfmt normalizes to ("sec/op" for ns/op).
func (b *BenchmarkFile) Estimate(name, unit string) (Estimate, bool) {
	values := b.samples[name][unit]
	if len(values) == 0 {
		return Estimate{}, false
	}
	sample := benchmath.NewSample(values, &benchmath.DefaultThresholds)
	summary := benchmath.AssumeNormal.Summary(sample, confidence)
	interval := Interval{summary.Lo, summary.Hi}
	e := Estimate{Mean: summary.Center, Interval: interval, Runs: len(values)}
	if len(values) == 1 || !interval.finite() {
		e.Interval = Interval{summary.Center, summary.Center}
		e.SingleRun = true
	}
	return e, true
}

// ServerCounts returns the numbers of servers that the named benchmark was run with, taken from the
// parameter "servers=N" in the names of its sub-benchmarks.
func (b *BenchmarkFile) ServerCounts(name string) map[int]bool {
	counts := map[int]bool{}
	for benchmark := range b.samples {
		parts := strings.Split(benchmark, "/")
		if parts[0] != name {
			continue
		}
		for _, part := range parts[1:] {
			if n, err := strconv.Atoi(strings.TrimPrefix(part, "servers=")); err == nil {
				counts[n] = true
			}
		}
	}
	return counts
}
