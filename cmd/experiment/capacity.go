package main

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/capacity"
)

// capacityInput names the files that the tables of docs/CAPACITY.md are computed from.
type capacityInput struct {
	target     string
	mechanisms string
	benchmarks []string
	records    []string
}

// defaultCapacityInput returns the files that `experiment capacity` reads by default, relative to the root of the
// checkout.
func defaultCapacityInput() capacityInput {
	return capacityInput{
		target:     "deploy/target.toml",
		mechanisms: "docs/capacity/mechanisms.toml",
		benchmarks: []string{"docs/capacity/path.txt", "docs/capacity/decision.txt"},
	}
}

// capacityCmd returns the command `experiment capacity`.
func capacityCmd() *cobra.Command {
	input := defaultCapacityInput()
	page := ""
	cmd := &cobra.Command{
		Use:   "capacity [RECORD...]",
		Short: "compare measurements with the target size: the tables of docs/CAPACITY.md",
		Long: "Prints the tables of docs/CAPACITY.md in Markdown: the resources that each role needs at the target size\n" +
			"by the runs in records of `experiment scale`, the budget, the fit, and the mechanism that keeps it within the\n" +
			"budget. Without records, or with benchmark files that don't exist, the rows say that nothing was measured.",
		RunE: func(cmd *cobra.Command, records []string) error {
			input.records = records
			tables, err := capacityTables(input)
			if err != nil {
				return err
			}
			if page == "" {
				_, err = cmd.OutOrStdout().Write(tables)
				return err
			}
			return rewriteTables(page, tables)
		}}
	flags := cmd.Flags()
	flags.StringVar(&input.target, "target", input.target, "file with the size that the system is designed for")
	flags.StringSliceVar(&input.benchmarks, "bench", input.benchmarks,
		"files of Go benchmark output; rows of missing files say that nothing was measured")
	flags.StringVar(&input.mechanisms, "mechanisms", input.mechanisms, "file with the mechanism of each row")
	flags.StringVar(&page, "page", page,
		"file in which the tables between the markers are replaced; nothing is printed")
	return cmd
}

// command returns the command line that prints the tables, without flags that have their default value.
func (in capacityInput) command() string {
	words := append([]string{"experiment capacity"}, in.records...)
	defaults := defaultCapacityInput()
	for _, flag := range []struct{ name, value, defaultValue string }{
		{"target", in.target, defaults.target},
		{"bench", strings.Join(in.benchmarks, ","), strings.Join(defaults.benchmarks, ",")},
		{"mechanisms", in.mechanisms, defaults.mechanisms},
	} {
		if flag.value != flag.defaultValue {
			words = append(words, "--"+flag.name, flag.value)
		}
	}
	return strings.Join(words, " ")
}

// capacityTables returns the tables of docs/CAPACITY.md in Markdown.
func capacityTables(in capacityInput) ([]byte, error) {
	target, err := capacity.LoadTarget(in.target)
	if err != nil {
		return nil, err
	}
	mechanisms, err := capacity.LoadMechanisms(in.mechanisms)
	if err != nil {
		return nil, err
	}
	var records []capacity.Record
	for _, path := range in.records {
		runs, err := capacity.ReadRuns(path)
		if err != nil {
			return nil, err
		}
		records = append(records, capacity.Record{Path: path, Runs: runs})
	}
	var benchmarks []*capacity.BenchmarkFile
	for _, path := range in.benchmarks {
		b, err := capacity.ReadBenchmarkFile(path)
		if err != nil {
			return nil, err
		}
		benchmarks = append(benchmarks, b)
	}
	page, err := capacity.NewPage(target, mechanisms, records, benchmarks)
	if err != nil {
		return nil, err
	}
	page.Command = in.command()
	var out bytes.Buffer
	err = page.Write(&out)
	return out.Bytes(), err
}

// rewriteTables replaces the tables between the markers of a page.
func rewriteTables(page string, tables []byte) error {
	before, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	after, err := capacity.ReplaceTables(string(before), string(tables))
	if err != nil {
		return fmt.Errorf("%s: %w", page, err)
	}
	return replaceFile(page, after)
}
