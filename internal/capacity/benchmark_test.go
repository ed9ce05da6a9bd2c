package capacity

import (
	"maps"
	"math"
	"slices"
	"testing"
)

func TestReadBenchmarkFileErrors(t *testing.T) {
	for text, want := range map[string]string{
		"BenchmarkPath/servers=10 100 nonsense added-p99-us\n": ":1: ",
		"goos: linux\n--- FAIL: BenchmarkPath\n":               ":2: a benchmark failed",
		"FAIL\tsome/package\n":                                 ":1: a benchmark failed",
		"BenchmarkPath/servers=10 100 NaN added-p99-us\n":      ":1: added-p99-us: NaN",
	} {
		path := writeFile(t, "b.txt", text)
		b, err := ReadBenchmarkFile(path)
		requireOneLineError(t, err, path+want)
		if b != nil {
			t.Errorf("%q: got a partial result", text)
		}
	}
	const valid = "commit: abc\nBenchmarkDecision/servers=10/state=calm-8 100 2500 ns/op\n"
	file, err := ReadBenchmarkFile(writeFile(t, "b.txt", valid))
	if err != nil {
		t.Fatal(err)
	}
	e, ok := file.Estimate("Decision/servers=10/state=calm", "sec/op")
	if !ok || !e.SingleRun || math.Abs(e.Mean-2.5e-6) > 1e-12 || file.Config["commit"] != "abc" {
		t.Errorf("%+v, %v, %v", e, ok, file.Config)
	}
	if got := slices.Sorted(maps.Keys(file.ServerCounts(decisionBenchmark))); !slices.Equal(got, []int{10}) {
		t.Errorf("servers %v", got)
	}
}
