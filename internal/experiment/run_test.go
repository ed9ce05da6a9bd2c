package experiment

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"

	"fernbeam.example/fernbeam/internal/emulator"
)

// faultScenario is a small scenario with the faults that are hardest for the harness to handle: agents that are killed
// with requests in flight, terminated, and paused; servers that are replaced, partitioned from all agents, and
// partitioned from the agents of other zones; and an outage of discovery. It ends while requests are in flight.
const faultScenario = `
name = "hard"
length = "6s"
[fleet]
agents = 8
nodes = 6
pod = 3
list_delay = ["100ms", "400ms"]
[traffic]
load = 0.4
[[trouble]]
at = "1s"
kind = "kill agents"
share = 0.25
back = "300ms"
[[trouble]]
at = "1500ms"
kind = "release"
share = 0.4
batch = 0.5
drain = "1s"
for = "2s"
[[trouble]]
at = "2s"
kind = "list down"
for = "1s"
[[trouble]]
at = "3s"
kind = "pause agents"
share = 0.25
for = "900ms"
[[trouble]]
at = "4s"
kind = "zone cut"
zone = "quito-sur"
for = "800ms"
[[trouble]]
at = "4500ms"
kind = "restart agents"
share = 0.25
batch = 0.5
for = "1s"
[[trouble]]
at = "5800ms"
kind = "silent nodes"
share = 0.2
for = "500ms"
[[arm]]
name = "off"
[[arm]]
name = "fleet"
fleet = true
`

// TestFaultScenarioHasNoViolations runs both arms of faultScenario with two seeds in parallel. It checks that there
// are no violations of the operating rules, that all agents are running at the end and serve, and that both arms got
// the same number of requests. It checks no times and accepts runs that are not valid, since the machine may be busy.
func TestFaultScenarioHasNoViolations(t *testing.T) {
	binary := buildAgent(t)
	for seed := uint64(1); seed <= 2; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			records := runFaultScenario(t, binary, seed)
			for _, record := range records {
				checkServes(t, record)
				checkViews(t, record)
				checkTitles(t, record)
			}
			if paths, err := Plot(records, t.TempDir(), "svg"); err != nil || len(paths) != 3 {
				t.Errorf("Plot() = %v, %v, want 3 files", paths, err)
			}
			calls := func(r *Record) float64 { return r.Result.Metrics[emulator.MetricCalls] }
			if a, b := calls(records[0]), calls(records[1]); a != b {
				t.Errorf("arms got %v and %v requests, want the same number", a, b)
			}
		})
	}
}

// buildAgent builds the agent and returns the path of the program.
func buildAgent(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "agent")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../../cmd/agent")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// runFaultScenario runs faultScenario with a seed and returns the records of its arms.
func runFaultScenario(t *testing.T, binary string, seed uint64) (records []*Record) {
	t.Helper()
	scenario, err := Parse("hard.toml", faultScenario)
	if err != nil {
		t.Fatal(err)
	}
	scenario.Seed = seed
	err = Run(context.Background(), Config{
		Scenario: scenario,
		Binary:   binary,
		Dir:      t.TempDir(),
		OnRecord: func(r *Record) error {
			records = append(records, r)
			return nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return records
}

// checkServes checks that a run has no violations and that its agents kept running and served requests.
func checkServes(t *testing.T, record *Record) {
	t.Helper()
	for _, violation := range record.Result.Violations {
		t.Errorf("arm %q: %v", record.Arm, violation)
	}
	metrics := record.Result.Metrics
	served := metrics[emulator.MetricInTime] + metrics[emulator.MetricLate]
	if record.AgentError != "" || served < 0.2 || record.Result.Attempts == 0 {
		t.Errorf("arm %q: agent error %q, metrics %v", record.Arm, record.AgentError, metrics)
	}
}

// checkViews checks that, at some time, all sampled agents saw all agents in the arm with a membership section, and
// never in the other arm.
func checkViews(t *testing.T, record *Record) {
	t.Helper()
	complete := func(view ViewRange) bool { return view == ViewRange{8, 8} }
	if slices.ContainsFunc(record.Views, complete) != (record.Arm == "fleet") {
		t.Errorf("arm %q: views are %v", record.Arm, record.Views)
	}
}

// checkTitles checks that every metric of a run has a title and a unit.
func checkTitles(t *testing.T, record *Record) {
	t.Helper()
	for key := range record.Metrics() {
		if metric := FindMetric(string(key)); metric.Unit == "" {
			t.Errorf("arm %q: metric %q is not in metricTable", record.Arm, key)
		}
	}
}
