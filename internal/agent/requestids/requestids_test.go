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
		ids := New()
		ids.Abandon("a", start)
		ids.Abandon("removed", start)
		ids.Forget("removed")
		ids.Forget("never added")
		for after, want := range map[time.Duration]bool{
			0:                                   true,
			lifetimeSeconds * time.Second:       true,
			(lifetimeSeconds + 1) * time.Second: false,
			time.Hour:                           false,
		} {
			if got := ids.IsAbandoned("a", start.Add(after)); got != want {
				t.Errorf("%s: after %v: %v, want %v", name, after, got, want)
			}
		}
		for _, id := range []string{"removed", "b", ""} {
			if ids.IsAbandoned(id, start) {
				t.Errorf("%s: %q is remembered", name, id)
			}
		}
	}
}

// A registry takes the same memory however many ids are added, and finds recent ones.
func TestRecentIDsAreFoundAmongMany(t *testing.T) {
	ids := New()
	now := time.Now()
	const added, recent = 100_000, 100
	for i := range added {
		ids.Abandon(fmt.Sprint("id-", i), now)
	}
	found := 0
	for i := added - recent; i < added; i++ {
		if ids.IsAbandoned(fmt.Sprint("id-", i), now) {
			found++
		}
	}
	const replaced = 5 // by others of the recent ids
	if found < recent-replaced {
		t.Errorf("%d of the last %d ids found", found, recent)
	}
}

// Two registries on one file share their ids, also with one that is opened later.
func TestRegistriesOnAFileShareIDs(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ids")
	open := func() *Registry {
		ids, err := Open(path)
		if err != nil {
			t.Fatal(err)
		}
		return ids
	}
	now := time.Now()
	first, second := open(), open()
	first.Abandon("a", now)
	second.Abandon("b", now)
	first.Begin("c", now)
	second.Begin("ended", now)
	first.End("ended")
	for i, ids := range []*Registry{first, second, open()} {
		if !ids.IsAbandoned("a", now) || !ids.IsAbandoned("b", now) || !ids.IsInFlight("c", now) {
			t.Errorf("registry %d lacks an id", i)
		}
		if ids.IsAbandoned("c", now) || ids.IsInFlight("a", now) || ids.IsInFlight("ended", now) {
			t.Errorf("registry %d takes an id for another's state", i)
		}
	}
	if _, err := Open(filepath.Join(path, "no directory")); err == nil {
		t.Error("a registry without a file")
	}
}

// A registry of one process has no requests in flight at others.
func TestOwnRegistryHasNothingInFlight(t *testing.T) {
	ids := New()
	ids.Begin("a", time.Now())
	if ids.IsInFlight("a", time.Now()) {
		t.Error("in flight at another process")
	}
	ids.End("a")
}
