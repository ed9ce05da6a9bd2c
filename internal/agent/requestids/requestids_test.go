package requestids

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"
)

// An id is remembered for its lifetime, also across a wrap of the stored time, unless it is removed.
func TestIDsAreRememberedForTheirLifetime(t *testing.T) {
	for name, start := range map[string]time.Time{
		"any time":    time.Unix(1_800_000_000, 0),
		"before wrap": time.Unix(1<<timeBits*1700-1, 0),
	} {
		table := New()
		table.Add("a", start)
		table.Add("removed", start)
		table.Remove("removed")
		table.Remove("never added")
		for after, want := range map[time.Duration]bool{
			0:                                   true,
			lifetimeSeconds * time.Second:       true,
			(lifetimeSeconds + 1) * time.Second: false,
			time.Hour:                           false,
		} {
			if got := table.Contains("a", start.Add(after)); got != want {
				t.Errorf("%s: after %v: %v, want %v", name, after, got, want)
			}
		}
		for _, id := range []string{"removed", "b", ""} {
			if table.Contains(id, start) {
				t.Errorf("%s: %q is remembered", name, id)
			}
		}
	}
}

// A table takes the same memory however many ids are added, and finds recent ones.
func TestRecentIDsAreFoundAmongMany(t *testing.T) {
	table := New()
	now := time.Now()
	const added, recent = 100_000, 100
	for i := range added {
		table.Add(fmt.Sprint("id-", i), now)
	}
	found := 0
	for i := added - recent; i < added; i++ {
		if table.Contains(fmt.Sprint("id-", i), now) {
			found++
		}
	}
	const replaced = 5 // by others of the recent ids
	if found < recent-replaced {
		t.Errorf("%d of the last %d ids found", found, recent)
	}
}

// Two tables on one file share their ids, also with a table that is opened later.
func TestTablesOnAFileShareIDs(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ids")
	open := func() *Table {
		table, err := Open(path)
		if err != nil {
			t.Fatal(err)
		}
		return table
	}
	now := time.Now()
	first, second := open(), open()
	first.Add("a", now)
	second.Add("b", now)
	for i, table := range []*Table{first, second, open()} {
		if !table.Contains("a", now) || !table.Contains("b", now) {
			t.Errorf("table %d lacks an id", i)
		}
	}
	if _, err := Open(filepath.Join(path, "no directory")); err == nil {
		t.Error("a table without a file")
	}
}
