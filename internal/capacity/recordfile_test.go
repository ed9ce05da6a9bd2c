package capacity

import (
	"encoding/json"
	"math"
	"reflect"
	"strings"
	"testing"
)

// validRun returns a run that passes Run.check.
func validRun() *Run {
	return &Run{Plan: "p", Commit: "abc", Profile: ProfileQuiet, Repeat: 1, Size: 50, Hollow: 30, Real: 20,
		DiscoveryInstances: 3, ListedServers: 50, RateFactor: 1, Seconds: 20, Converged: true,
		Roles: map[Role]RoleMetrics{RoleReal: {
			Count: 20,
			Mean:  map[MetricKey]float64{CPU: 0.002},
			Max:   map[MetricKey]float64{CPU: 0.003},
		}},
		InForce: map[ChangeKind]Latencies{"list": {Count: 9, P50: 1, P99: 2, Max: 3}}}
}

// recordLines returns runs as lines of a record file, as `experiment scale` writes them.
func recordLines(t *testing.T, runs ...*Run) string {
	t.Helper()
	var text strings.Builder
	encoder := json.NewEncoder(&text)
	for _, r := range runs {
		if err := encoder.Encode(r); err != nil {
			t.Fatal(err)
		}
	}
	return text.String()
}

func TestRunRoundTrip(t *testing.T) {
	one, two := validRun(), validRun()
	two.Seed = math.MaxUint64
	two.Missing = []string{"alloc"}
	two.Invalid = []string{"late"}
	two.RateFactor = 0
	two.Seconds = 0
	got, err := ReadRuns(writeFile(t, "r.jsonl", recordLines(t, one, two)))
	if err != nil || !reflect.DeepEqual(got, []*Run{one, two}) {
		t.Errorf("read %v, %v", got, err)
	}
}

// TestRunCheckErrors also covers values that JSON can't express, such as NaN.
func TestRunCheckErrors(t *testing.T) {
	if err := validRun().check(); err != nil {
		t.Fatal(err)
	}
	for key, corrupt := range map[string]func(*Run){
		"plan":                func(r *Run) { r.Plan = "" },
		"day":                 func(r *Run) { r.Profile = "holiday" },
		"repeat":              func(r *Run) { r.Repeat = 0 },
		"size":                func(r *Run) { r.Size = 51 },
		"hurry":               func(r *Run) { r.RateFactor = 0 },
		"seconds":             func(r *Run) { r.Seconds = math.NaN() },
		"roles":               func(r *Run) { r.Roles["boss"] = RoleMetrics{} },
		"roles.real.mean.cpu": func(r *Run) { r.Roles[RoleReal].Mean[CPU] = math.Inf(1) },
		"roles.real.most.cpu": func(r *Run) { r.Roles[RoleReal].Max[CPU] = -1 },
		"in_force.list":       func(r *Run) { r.InForce["list"] = Latencies{P99: math.NaN()} },
	} {
		r := validRun()
		corrupt(r)
		requireOneLineError(t, r.check(), key)
	}
}

func TestReadRunsErrors(t *testing.T) {
	valid := recordLines(t, validRun())
	for _, c := range []struct{ old, new, want string }{
		{`"size":50`, `"siez":50`, "siez"},
		{`"size":50,`, ``, "size"},
		{`"size":50`, `"size":"50"`, "size"},
		{`"size":50`, `"size":50.5`, "size"},
		{`"cpu":0.002`, `"cpu":NaN`, ""},
		{`"cpu":0.002`, `"cpu":-1`, "roles.real.mean.cpu"},
		{`"in_force"`, `"in_farce"`, "in_farce"},
		{"}\n", "} {}\n", "unexpected data after"},
		{"}\n", "", ""},
	} {
		if !strings.Contains(valid, c.old) {
			t.Fatalf("no %q in %s", c.old, valid)
		}
		path := writeFile(t, "r.jsonl", valid+"\n"+strings.Replace(valid, c.old, c.new, 1))
		runs, err := ReadRuns(path)
		requireOneLineError(t, err, path+":3:", c.want)
		if runs != nil {
			t.Errorf("%q for %q: got a partial result", c.new, c.old)
		}
	}
}
