package membershiptest

import (
	"errors"
	"strings"
	"testing"
)

// earlierRecord is a record that contains each key of a run.
const earlierRecord = `{"case":"kill a tenth","agents":24,"seed":7,"commit":"abc1234","processors":8,` +
	`"figures":{"detect p50 ms":310,"settle ms":812}}
{"case":"loss 5 %","agents":24,"seed":8,"commit":"abc1234","processors":8,"failed":"not within 1m0s"}
`

// TestJournalReadsEarlierRecord checks that a Journal reads a record in the stored format, prints its table and writes
// the same record again.
func TestJournalReadsEarlierRecord(t *testing.T) {
	var read Journal
	if err := read.Read(strings.NewReader(earlierRecord)); err != nil {
		t.Fatal(err)
	}
	var table strings.Builder
	var failed *FailedRunsError
	if err := read.Table(&table); !errors.As(err, &failed) || *failed != (FailedRunsError{Failed: 1, Runs: 2}) {
		t.Errorf("Table returned the error %v, want 1 failed run of 2", err)
	}
	for _, line := range []string{
		"| 24 | kill a tenth | settle ms | 1 | 812 | 812 | 812 |\n",
		"FAILED: loss 5 %, 24 agents, seed 8, commit abc1234: not within 1m0s\n",
	} {
		if !strings.Contains(table.String(), line) {
			t.Errorf("table without the line %q:\n%s", line, &table)
		}
	}
	var text strings.Builder
	written := Journal{Commit: "abc1234", Agents: 24, Processors: 8, Out: &text}
	for _, run := range read.runs {
		var err error
		if run.Failed != "" {
			err = errors.New(run.Failed)
		}
		if err := written.Add(run.Case, run.Seed, run.Metrics, err); err != nil {
			t.Fatal(err)
		}
	}
	if text.String() != earlierRecord {
		t.Errorf("wrote the record:\n%s\nwant:\n%s", &text, earlierRecord)
	}
}
