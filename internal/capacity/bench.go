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

// Bench is a file of Go's benchmark output: the samples by benchmark, key and unit.
type BenchmarkFile struct {
	Path    string
	Missing bool // there is no such file: nothing is measured
	Config  map[string]string
	samples map[string]map[string][]float64 // by name without "Benchmark" and the processors, and unit
}

// ReadBench reads a file of benchmark output. One that is not there is Missing; a line that is
// broken, or a failed benchmark, is an error of one line that names file and line.
func ReadBenchmarkFile(path string) (*BenchmarkFile, error) {
	b := &BenchmarkFile{Path: path, Config: map[string]string{}, samples: map[string]map[string][]float64{}}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		b.Missing = true
		return b, nil
	} else if err != nil {
		return nil, err
	}
	for n, line := range strings.Split(string(text), "\n") {
		if word := strings.TrimLeft(line, " "); strings.HasPrefix(word, "--- FAIL") || strings.HasPrefix(line, "FAIL") || strings.HasPrefix(line, "panic: ") {
			return nil, fmt.Errorf("%s:%d: a benchmark failed: %s", path, n+1, line)
		}
	}
	in := benchfmt.NewReader(strings.NewReader(string(text)), filepath.Base(path))
	for in.Scan() {
		switch rec := in.Result().(type) {
		case *benchfmt.SyntaxError:
			return nil, fmt.Errorf("%s:%d: %s", path, rec.Line, rec.Msg)
		case *benchfmt.Result:
			if err := b.add(rec); err != nil {
				_, line := rec.Pos()
				return nil, fmt.Errorf("%s:%d: %w", path, line, err)
			}
		}
	}
	return b, in.Err()
}

func (b *BenchmarkFile) add(res *benchfmt.Result) error {
	for _, c := range res.Config {
		if c.File {
			b.Config[c.Key] = string(c.Value)
		}
	}
	base, parts := res.Name.Parts()
	name := string(base)
	for _, p := range parts {
		if p[0] == '/' { // the last may be the processors, "-8"
			name += string(p)
		}
	}
	if b.samples[name] == nil {
		b.samples[name] = map[string][]float64{}
	}
	for _, v := range res.Values {
		if math.IsNaN(v.Value) || math.IsInf(v.Value, 0) {
			return fmt.Errorf("%s: %v is not a figure", v.Unit, v.Value)
		}
		b.samples[name][v.Unit] = append(b.samples[name][v.Unit], v.Value)
	}
	return nil
}

// Estimate is a mean with its 95 % interval, or without one if it rests on a single run.
type Estimate struct {
	Mean      float64
	Interval  Interval
	SingleRun bool
	Runs      int
}

// Get is a benchmark's figure; the unit as benchfmt tidies it ("sec/op" for ns/op).
func (b *BenchmarkFile) Estimate(name, unit string) (Estimate, bool) {
	values := b.samples[name][unit]
	if len(values) == 0 {
		return Estimate{}, false
	}
	s := benchmath.AssumeNormal.Summary(benchmath.NewSample(values, &benchmath.DefaultThresholds), 0.95)
	e := Estimate{Mean: s.Center, Interval: Interval{s.Lo, s.Hi}, Runs: len(values)}
	if len(values) == 1 || math.IsNaN(s.Lo) || math.IsInf(s.Lo, 0) || math.IsNaN(s.Hi) || math.IsInf(s.Hi, 0) {
		e.Interval, e.SingleRun = Interval{s.Center, s.Center}, true
	}
	return e, true
}

// Servers are the numbers of servers that the benchmarks of a name were run with.
func (b *BenchmarkFile) ServerCounts(name string) map[int]bool {
	out := map[int]bool{}
	for full := range b.samples {
		parts := strings.Split(full, "/")
		if parts[0] != name {
			continue
		}
		for _, p := range parts[1:] {
			if n, err := strconv.Atoi(strings.TrimPrefix(p, "servers=")); err == nil {
				out[n] = true
			}
		}
	}
	return out
}
