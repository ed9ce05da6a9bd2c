package server_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// writeRecord is one write of a server's entry, each under an id of its own.
type writeRecord struct {
	id             string
	started, ended time.Duration
	version        uint64 // 0: not acknowledged; it may have happened
}

// readRecord is a whole list as one instance gave it.
type readRecord struct {
	instance string
	started  time.Duration
	version  uint64
	ids      []string
}

// history is what clients did and saw, of all instances.
type history struct {
	mu     sync.Mutex
	start  time.Time
	writes []writeRecord
	reads  []readRecord
	final  []readRecord // of each instance, once all is over
}

func newHistory() *history { return &history{start: time.Now()} }

func (h *history) now() time.Duration { return time.Since(h.start) }

func (h *history) recordWrite(record writeRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writes = append(h.writes, record)
}

func (h *history) recordRead(record readRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads = append(h.reads, record)
}

// acknowledged are the acknowledged writes by version.
func (h *history) acknowledged() []writeRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := slices.DeleteFunc(slices.Clone(h.writes), func(w writeRecord) bool { return w.version == 0 })
	slices.SortFunc(out, func(a, b writeRecord) int { return int(a.version) - int(b.version) })
	return out
}

// check names what the history has that one list, written in one order, can't explain: versions
// that are shared or against the order in time, an acknowledged write that a list of its version
// or a later one lacks, a list that holds a later write, a read that is older than stale, final
// lists that differ.
func (h *history) check(stale time.Duration) error {
	acked := h.acknowledged()
	errs := []error{checkOrder(acked)}
	for _, read := range slices.Concat(h.reads, h.final) {
		errs = append(errs, checkRead(acked, read))
	}
	for _, read := range h.reads {
		errs = append(errs, checkFresh(acked, read, stale))
	}
	for _, read := range h.final {
		if len(acked) > 0 && read.version < acked[len(acked)-1].version {
			errs = append(errs, fmt.Errorf("%s ends at version %d, acknowledged was %d", read.instance, read.version, acked[len(acked)-1].version))
		}
		if first := h.final[0]; !slices.Equal(first.ids, read.ids) || first.version != read.version {
			errs = append(errs, fmt.Errorf("%s and %s end with different lists", first.instance, read.instance))
		}
	}
	return errors.Join(errs...)
}

// checkOrder wants versions to be unique and to grow with time: a write that begins after another
// was acknowledged has a later version. The writes come by version.
func checkOrder(acked []writeRecord) error {
	var latestBegin writeRecord
	for i, write := range acked {
		if i > 0 && acked[i-1].version == write.version {
			return fmt.Errorf("%s and %s are both version %d", acked[i-1].id, write.id, write.version)
		}
		if write.ended < latestBegin.started {
			return fmt.Errorf("%s (version %d) was acknowledged before %s (version %d) began", write.id, write.version, latestBegin.id, latestBegin.version)
		}
		if write.started > latestBegin.started {
			latestBegin = write
		}
	}
	return nil
}

// checkRead wants a list to hold exactly the acknowledged writes up to its version.
func checkRead(acked []writeRecord, read readRecord) error {
	held := map[string]bool{}
	for _, id := range read.ids {
		held[id] = true
	}
	for _, write := range acked {
		if held[write.id] != (write.version <= read.version) {
			return fmt.Errorf("%s at version %d: holds %s of version %d: %v", read.instance, read.version, write.id, write.version, held[write.id])
		}
	}
	return nil
}

// checkFresh wants a list to hold what was acknowledged longer ago than stale.
func checkFresh(acked []writeRecord, read readRecord, stale time.Duration) error {
	for _, write := range acked {
		if write.version > read.version && read.started-write.ended > stale {
			return fmt.Errorf("%s at version %d: read %v after %s (version %d) was acknowledged", read.instance, read.version, read.started-write.ended, write.id, write.version)
		}
	}
	return nil
}

// TestHistoryCheck: the checker finds each kind of fault in a history that is right without it.
func TestHistoryCheck(t *testing.T) {
	const second = time.Second
	for fault, spoil := range map[string]func(*history){
		"":               func(*history) {},
		"both version":   func(h *history) { h.writes[1].version = 1 },
		"before":         func(h *history) { h.writes[0].version, h.writes[1].version = 2, 1 },
		"holds b":        func(h *history) { h.reads[0].ids = []string{"a"} },
		"holds c":        func(h *history) { h.reads[0].ids = []string{"a", "b", "c"} },
		"after c":        func(h *history) { h.reads[0].started = 20 * second },
		"ends at":        func(h *history) { h.final[1] = readRecord{instance: "n2", version: 2, ids: []string{"a", "b"}} },
		"different list": func(h *history) { h.final[1].ids = []string{"a", "b", "c", "other"} },
	} {
		h := &history{
			writes: []writeRecord{{id: "a", started: 0, ended: second, version: 1}, {id: "b", started: 2 * second, ended: 3 * second, version: 2},
				{id: "c", started: 4 * second, ended: 5 * second, version: 3}, {id: "lost", started: 4 * second, ended: 5 * second}},
			reads: []readRecord{{instance: "n1", started: 5 * second, version: 2, ids: []string{"a", "b"}}},
			final: []readRecord{{instance: "n1", version: 3, ids: []string{"a", "b", "c"}}, {instance: "n2", version: 3, ids: []string{"a", "b", "c"}}},
		}
		spoil(h)
		switch err := h.check(5 * second); {
		case fault == "" && err != nil:
			t.Error(err)
		case fault != "" && (err == nil || !strings.Contains(err.Error(), fault)):
			t.Errorf("%q: the checker says %v", fault, err)
		}
	}
}
