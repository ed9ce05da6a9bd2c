package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/experiment"
)

const (
	readmeFile = "../../README.md"
	// exampleScenario is the path of the example in the README, relative to exampleRoot.
	exampleScenario = "deploy/example/one-agent.toml"
	exampleRoot     = "../.."
)

// TestExampleScenarioRuns runs the example scenario, shortened to two seconds, with a freshly built agent. It checks
// that the report begins with the rows that the README shows.
func TestExampleScenarioRuns(t *testing.T) {
	dir := t.TempDir()
	agent := filepath.Join(dir, "agent")
	if text, err := exec.CommandContext(t.Context(), "go", "build", "-o", agent, "../agent").CombinedOutput(); err != nil {
		t.Fatalf("building the agent: %v\n%s", err, text)
	}
	scenario, err := experiment.Load(filepath.Join(exampleRoot, exampleScenario))
	if err != nil {
		t.Fatal(err)
	}
	scenario.Length = 2 * time.Second
	var records []*experiment.Record
	err = experiment.Run(t.Context(), experiment.Config{Scenario: scenario, Binary: agent, Dir: dir,
		OnRecord: func(record *experiment.Record) error {
			records = append(records, record)
			return nil
		}})
	if err != nil || len(records) != 1 {
		t.Fatalf("%d runs recorded (%v), want 1", len(records), err)
	}
	var report bytes.Buffer
	if err := experiment.Report(&report, records); err != nil {
		t.Fatal(err)
	}
	shown, printed := tableRows(readme(t)), tableRows(report.String())
	if len(shown) == 0 || len(printed) < len(shown) || !slices.Equal(printed[:len(shown)], shown) {
		t.Errorf("README shows the rows\n%v\nbut the report has\n%v", shown, printed)
	}
}

// TestReadmeHasExampleCommands checks that the README has the commands that build the programs and run
// exampleScenario, in this order.
func TestReadmeHasExampleCommands(t *testing.T) {
	const commands = "\n\n    go build -o bin/ ./cmd/...\n    bin/experiment run " + exampleScenario + "\n\n"
	if !strings.Contains(readme(t), commands) {
		t.Errorf("README has no%s", commands)
	}
}

// readme returns the text of the README.
func readme(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(readmeFile)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// tableRow is a row of a report without its value, which varies between runs.
type tableRow struct{ title, unit string }

// tableRows returns the rows, including headers, of the three-column Markdown tables in a text.
func tableRows(text string) (rows []tableRow) {
	for line := range strings.Lines(text) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		const columns = 3
		if len(cells) != columns+2 || strings.Contains(line, "---") {
			continue
		}
		rows = append(rows, tableRow{title: strings.TrimSpace(cells[1]), unit: strings.TrimSpace(cells[3])})
	}
	return rows
}
