package server_test

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

// writeRecord is one write of a server's entry. The id is unique among the writes.
type writeRecord struct {
	id             string
	started, ended time.Duration // since the start of the recorder
	version        uint64        // 0: not acknowledged, but possibly applied
}

// readRecord is a full list returned by one instance.
type readRecord struct {
	instance string
	started  time.Duration // since the start of the recorder
	version  uint64
	ids      []string
}

// recorder records the clients' writes and reads at all instances.
type recorder struct {
	start  time.Time
	writes processtest.Records[writeRecord]
	reads  processtest.Records[readRecord]
}

// now returns the time since the start of the recorder.
func (r *recorder) now() time.Duration { return time.Since(r.start) }

// acknowledged returns the acknowledged writes so far, ordered by version.
func (r *recorder) acknowledged() []writeRecord { return acknowledgedWrites(r.writes.All()) }

// history is the clients' writes and reads at all instances.
type history struct {
	writes []writeRecord
	reads  []readRecord
	final  []readRecord // one per instance, after the last write
}

// acknowledgedWrites returns those of the writes that were acknowledged, ordered by version.
func acknowledgedWrites(writes []writeRecord) []writeRecord {
	acknowledged := slices.DeleteFunc(slices.Clone(writes), func(w writeRecord) bool { return w.version == 0 })
	slices.SortFunc(acknowledged, func(a, b writeRecord) int { return cmp.Compare(a.version, b.version) })
	return acknowledged
}

// check returns an error if the history can't be that of a single list with totally ordered writes. It
// can't be if
//
//   - two writes have the same version, or versions that contradict their order in time,
//   - a list lacks an acknowledged write of its version or an earlier one, or has a later one,
//   - a list lacks a write that was acknowledged longer than maxStale before the read, or
//   - the final lists differ or lack an acknowledged write.
func (h *history) check(maxStale time.Duration) error {
	acknowledged := acknowledgedWrites(h.writes)
	errs := []error{checkOrder(acknowledged)}
	for _, read := range slices.Concat(h.reads, h.final) {
		errs = append(errs, checkRead(acknowledged, read))
	}
	for _, read := range h.reads {
		errs = append(errs, checkFresh(acknowledged, read, maxStale))
	}
	for _, read := range h.final {
		if len(acknowledged) > 0 && read.version < acknowledged[len(acknowledged)-1].version {
			err := fmt.Errorf("%s ends at version %d, but version %d was acknowledged",
				read.instance, read.version, acknowledged[len(acknowledged)-1].version)
			errs = append(errs, err)
		}
		if first := h.final[0]; !slices.Equal(first.ids, read.ids) || first.version != read.version {
			errs = append(errs, fmt.Errorf("%s and %s end with different lists", first.instance, read.instance))
		}
	}
	return errors.Join(errs...)
}

// checkOrder returns an error if two writes have the same version, or if a write that started after
// another one was acknowledged has the lower version. The writes are ordered by version.
func checkOrder(acknowledged []writeRecord) error {
	var latestStart writeRecord
	for i, write := range acknowledged {
		if i > 0 && acknowledged[i-1].version == write.version {
			return fmt.Errorf("%s and %s both have version %d", acknowledged[i-1].id, write.id, write.version)
		}
		if write.ended < latestStart.started {
			return fmt.Errorf("%s (version %d) was acknowledged before %s (version %d) started",
				write.id, write.version, latestStart.id, latestStart.version)
		}
		if write.started > latestStart.started {
			latestStart = write
		}
	}
	return nil
}

// checkRead returns an error if a list lacks an acknowledged write up to its version, or has a later one.
func checkRead(acknowledged []writeRecord, read readRecord) error {
	listed := map[string]bool{}
	for _, id := range read.ids {
		listed[id] = true
	}
	for _, write := range acknowledged {
		if listed[write.id] != (write.version <= read.version) {
			return fmt.Errorf("%s at version %d: lists %s (version %d): %v",
				read.instance, read.version, write.id, write.version, listed[write.id])
		}
	}
	return nil
}

// checkFresh returns an error if a list lacks a write that was acknowledged more than maxStale before
// the read.
func checkFresh(acknowledged []writeRecord, read readRecord, maxStale time.Duration) error {
	for _, write := range acknowledged {
		if write.version > read.version && read.started-write.ended > maxStale {
			return fmt.Errorf("%s at version %d: read started %v after %s (version %d) was acknowledged",
				read.instance, read.version, read.started-write.ended, write.id, write.version)
		}
	}
	return nil
}

// TestHistoryCheck checks that history.check accepts a correct history and finds each kind of
// inconsistency that is inserted into it. The map's keys are parts of the expected errors.
func TestHistoryCheck(t *testing.T) {
	const second = time.Second
	for fault, insertFault := range map[string]func(*history){
		"":                  func(*history) {},
		"both have version": func(h *history) { h.writes[1].version = 1 },
		"before":            func(h *history) { h.writes[0].version, h.writes[1].version = 2, 1 },
		"lists b":           func(h *history) { h.reads[0].ids = []string{"a"} },
		"lists c":           func(h *history) { h.reads[0].ids = []string{"a", "b", "c"} },
		"after c":           func(h *history) { h.reads[0].started = 20 * second },
		"ends at": func(h *history) {
			h.final[1] = readRecord{instance: "n2", version: 2, ids: []string{"a", "b"}}
		},
		"different list": func(h *history) { h.final[1].ids = []string{"a", "b", "c", "other"} },
	} {
		h := &history{
			writes: []writeRecord{
				{id: "a", started: 0, ended: second, version: 1},
				{id: "b", started: 2 * second, ended: 3 * second, version: 2},
				{id: "c", started: 4 * second, ended: 5 * second, version: 3},
				{id: "lost", started: 4 * second, ended: 5 * second},
			},
			reads: []readRecord{{instance: "n1", started: 5 * second, version: 2, ids: []string{"a", "b"}}},
			final: []readRecord{
				{instance: "n1", version: 3, ids: []string{"a", "b", "c"}},
				{instance: "n2", version: 3, ids: []string{"a", "b", "c"}},
			},
		}
		insertFault(h)
		switch err := h.check(5 * second); {
		case fault == "" && err != nil:
			t.Error(err)
		case fault != "" && (err == nil || !strings.Contains(err.Error(), fault)):
			t.Errorf("%q: check returned %v", fault, err)
		}
	}
}
