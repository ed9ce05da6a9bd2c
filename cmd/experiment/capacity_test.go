package main

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/capacity"
)

const (
	pageFile        = "docs/CAPACITY.md"
	syntheticRecord = "internal/capacity/testdata/made-up.jsonl"
)

// run runs `experiment` with arguments in the root of the checkout and returns its output.
func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	t.Chdir("../..")
	var out bytes.Buffer
	cmd := rootCmd()
	cmd.SetOut(&out)
	cmd.SetArgs(args)
	err := cmd.Execute()
	return out.String(), err
}

// TestPageMatchesCommandOutput checks that the tables of docs/CAPACITY.md are, byte for byte, the output of the
// command that the page names, for the committed records. To rewrite the tables, run
// `experiment capacity RECORD... --page docs/CAPACITY.md`.
func TestPageMatchesCommandOutput(t *testing.T) {
	tables := pageTables(t)
	match := regexp.MustCompile("^Printed by `experiment (capacity[^`]*)`").FindStringSubmatch(tables)
	if match == nil {
		t.Fatal("the page does not name the command that printed its tables")
	}
	command := match[1]
	printed, err := run(t, strings.Fields(command)...)
	if err != nil {
		t.Fatal(err)
	}
	requireSameTables(t, tables, strings.TrimRight(printed, "\n")+"\n", command)
	// A committed record of scale runs must be on the page.
	const scale = "docs/capacity/scale.jsonl"
	if _, err := os.Stat(scale); err == nil && !strings.Contains(command, scale) {
		t.Errorf("the page does not include %s", scale)
	}
}

// pageTables returns the text of the page between the markers.
func pageTables(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile(filepath.Join("../..", pageFile))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(page), capacity.BeginMarker+"\n")
	tables, _, ended := strings.Cut(rest, capacity.EndMarker+"\n")
	if !found || !ended {
		t.Fatal("the page lacks the markers of its tables")
	}
	return tables
}

// requireSameTables fails the test at the first line of the page's tables that differs from the command's output.
func requireSameTables(t *testing.T, tables, printed, command string) {
	t.Helper()
	if tables == printed {
		return
	}
	pageLines, printedLines := strings.Split(tables, "\n"), strings.Split(printed, "\n")
	for i := range min(len(pageLines), len(printedLines)) {
		if pageLines[i] != printedLines[i] {
			t.Fatalf("the page differs from its records: line %d of its tables is\n%s\nbut `experiment %s` prints\n%s",
				i+1, pageLines[i], command, printedLines[i])
		}
	}
	t.Fatalf("the page differs from its records: its tables have %d lines, want %d", len(pageLines), len(printedLines))
}

func TestCapacityRewritesOnlyTheTables(t *testing.T) {
	page := filepath.Join(t.TempDir(), "PAGE.md")
	text := "before\n\n" + capacity.BeginMarker + "\nold\n" + capacity.EndMarker + "\nafter\n"
	if err := os.WriteFile(page, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	printed, err := run(t, "capacity", syntheticRecord)
	if err != nil {
		t.Fatal(err)
	}
	cmd := rootCmd()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetArgs([]string{"capacity", syntheticRecord, "--page", page})
	if err := cmd.Execute(); err != nil || out.Len() > 0 {
		t.Fatalf("error %v, output %q, want neither", err, &out)
	}
	got, err := os.ReadFile(page)
	want := "before\n\n" + capacity.BeginMarker + "\n" + strings.TrimRight(printed, "\n") + "\n" + capacity.EndMarker +
		"\nafter\n"
	if err != nil || string(got) != want {
		t.Errorf("the page is not its text with the printed tables between the markers (read error: %v)", err)
	}
	if !strings.HasPrefix(printed, "Printed by `experiment capacity "+syntheticRecord+"`") {
		t.Errorf("output begins with %.80q", printed)
	}
}

// TestCapacityRejectsInvalidInput checks that an invalid file leads to a one-line error that names it and leaves the
// page unchanged.
func TestCapacityRejectsInvalidInput(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return path
	}
	const tables = capacity.BeginMarker + "\nold\n" + capacity.EndMarker + "\n"
	page := file("PAGE.md", tables)
	for name, args := range map[string][]string{
		"none.jsonl": {filepath.Join(dir, "none.jsonl")},
		"half.jsonl": {file("half.jsonl", `{"plan":"p"}`+"\n")},
		"t.toml":     {"--target", file("t.toml", "[fleet]\nagents = 3\n")},
		"b.txt":      {"--bench", file("b.txt", "FAIL\n")},
		"m.toml":     {"--mechanisms", file("m.toml", "[[mechanism]]\nrows = [\"x\"]\nby = \"y\"\n")},
		"EMPTY.md":   {"--page", file("EMPTY.md", "no markers\n")},
	} {
		t.Run(name, func(t *testing.T) {
			out, err := run(t, append([]string{"capacity", "--page", page}, args...)...)
			if err == nil || !strings.Contains(err.Error(), name) || strings.Contains(err.Error(), "\n") || out != "" {
				t.Errorf("output %q, error %v, want no output and a one-line error that names the file", out, err)
			}
			if got, err := os.ReadFile(page); err != nil || string(got) != tables {
				t.Errorf("the page is %q (read error: %v), want it unchanged", got, err)
			}
		})
	}
}
