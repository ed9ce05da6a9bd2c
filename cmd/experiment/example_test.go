package main

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/experiment"
)

// exampleScenario is the scenario that README starts with.
const exampleScenario = "../../deploy/example/one-agent.toml"

// TestExampleScenarioRuns runs the example scenario, cut to two seconds, with a built agent.
func TestExampleScenarioRuns(t *testing.T) {
	dir := t.TempDir()
	agent := filepath.Join(dir, "agent")
	if text, err := exec.Command("go", "build", "-o", agent, "../agent").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	scenario, err := experiment.Load(exampleScenario)
	if err != nil {
		t.Fatal(err)
	}
	scenario.Length = 2 * time.Second
	recorded := 0
	err = experiment.Run(t.Context(), experiment.Config{Scenario: scenario, Binary: agent, Dir: dir,
		Done: func(*experiment.Record) error {
			recorded++
			return nil
		}})
	if err != nil || recorded != 1 {
		t.Errorf("%d runs recorded (%v), want 1", recorded, err)
	}
}
