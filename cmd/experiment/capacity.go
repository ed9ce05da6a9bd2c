package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/capacity"
)

// The files that `experiment capacity` reads if it is told no others, from the checkout's root.
const (
	targetFile     = "deploy/target.toml"
	mechanismsFile = "docs/capacity/mechanisms.toml"
)

var benchFiles = []string{"docs/capacity/path.txt", "docs/capacity/decision.txt"}

func capacityCmd() *cobra.Command {
	target, mechanisms, benches, page := targetFile, mechanismsFile, benchFiles, ""
	cmd := &cobra.Command{Use: "capacity [RECORD...]", Short: "hold what was measured to the operators' size: the tables of docs/CAPACITY.md",
		Long: "Prints the tables of docs/CAPACITY.md in Markdown: what each role takes at the target's size by the runs\n" +
			"of the records that `experiment scale` wrote, the budget, the fit it comes from, and what carries it. Without\n" +
			"records, or with benchmark files that aren't there, the rows say that nothing was measured.",
		RunE: func(cmd *cobra.Command, records []string) error {
			// The target's and mechanisms' defaults aren't repeated in the page's command.
			command := strings.Join(append([]string{"experiment capacity"}, records...), " ")
			for _, f := range []struct{ name, value, normal string }{{"target", target, targetFile}, {"bench", strings.Join(benches, ","), strings.Join(benchFiles, ",")},
				{"mechanisms", mechanisms, mechanismsFile}} {
				if f.value != f.normal {
					command += fmt.Sprintf(" --%s %s", f.name, f.value)
				}
			}
			tables, err := capacityTables(command, target, mechanisms, records, benches)
			if err != nil {
				return err
			}
			if page == "" {
				_, err = cmd.OutOrStdout().Write(tables)
				return err
			}
			return rewrite(page, tables)
		}}
	cmd.Flags().StringVar(&target, "target", target, "the operators' size")
	cmd.Flags().StringSliceVar(&benches, "bench", benches, "files of Go's benchmark output; one that isn't there says so in its rows")
	cmd.Flags().StringVar(&mechanisms, "mechanisms", mechanisms, "what carries each row")
	cmd.Flags().StringVar(&page, "page", "", "file whose tables, between the markers, are written anew; nothing is printed")
	return cmd
}

func capacityTables(command, target, mechanisms string, records, benches []string) ([]byte, error) {
	t, err := capacity.LoadTarget(target)
	if err != nil {
		return nil, err
	}
	m, err := capacity.LoadMechanisms(mechanisms)
	if err != nil {
		return nil, err
	}
	var recs []capacity.Record
	for _, path := range records {
		runs, err := capacity.ReadRuns(path)
		if err != nil {
			return nil, err
		}
		recs = append(recs, capacity.Record{Path: path, Runs: runs})
	}
	var read []*capacity.BenchmarkFile
	for _, path := range benches {
		b, err := capacity.ReadBenchmarkFile(path)
		if err != nil {
			return nil, err
		}
		read = append(read, b)
	}
	p, err := capacity.NewPage(t, m, recs, read)
	if err != nil {
		return nil, err
	}
	p.Command = command
	var out bytes.Buffer
	err = p.Write(&out)
	return out.Bytes(), err
}

// rewrite puts the tables into a page, in one step: it has the old ones or the new ones.
func rewrite(page string, tables []byte) error {
	old, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	text, err := capacity.ReplaceTables(string(old), string(tables))
	if err != nil {
		return fmt.Errorf("%s: %w", page, err)
	}
	next := filepath.Join(filepath.Dir(page), "."+filepath.Base(page)+".new")
	if err := os.WriteFile(next, []byte(text), 0o644); err != nil {
		return err
	}
	if err := os.Rename(next, page); err != nil {
		os.Remove(next)
		return err
	}
	return nil
}
