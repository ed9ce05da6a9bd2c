package server

import (
	"math"
	"os"
	"time"
)

// repairInterval is the time between two attempts to repair a failing store.
const repairInterval = 50 * time.Millisecond

// beginOutage starts an outage, during which every write fails. The outage ends once the store is
// repaired and check, if not nil, has succeeded.
func (s *retryingStore) beginOutage(cause *StoreError, check func() error) {
	startedAt := time.Now()
	if !s.health.beginOutage(cause, startedAt) {
		return // there already is an outage
	}
	s.log.Error("store outage started", "operation", cause.Operation, "err", cause.Err)
	go s.repairUntilDone(startedAt, check)
}

// repairUntilDone retries the repair until it succeeds, and then ends the outage.
func (s *retryingStore) repairUntilDone(startedAt time.Time, check func() error) {
	for attempts := 1; ; attempts++ {
		select {
		case <-time.After(repairInterval):
		case <-s.closed:
			return
		}
		if s.repair(check) != nil {
			continue
		}
		outages := s.health.endOutage()
		s.log.Info("store outage ended", "duration", time.Since(startedAt), "attempts", attempts)
		s.notifyRecovered(outages)
		return
	}
}

// repair restores the state of the store that raft assumes, and checks the store with a write.
func (s *retryingStore) repair(check func() error) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if s.rewriteLastCommit != nil {
		if err := s.rewriteLastCommit(); err != nil {
			return err
		}
	}
	if s.failedAppend != 0 {
		if err := s.Store.DeleteRange(s.failedAppend, math.MaxUint64); err != nil {
			return err
		}
		s.failedAppend = 0
	}
	if err := s.Store.SetUint64(keyProbe, uint64(time.Now().UnixNano())); err != nil {
		return err
	}
	if check == nil {
		return nil
	}
	return check()
}

// metaPageCount is the number of meta pages at the start of a bbolt file.
const metaPageCount = 2

// metaPagesSize returns the total size of the meta pages in bytes.
func metaPagesSize() int { return metaPageCount * os.Getpagesize() }

// rewriteMetaPages rewrites the two meta pages of a bbolt file unchanged, and syncs them.
//
// After a failed sync, Linux may discard the dirty pages and mark them as clean, so that a later sync
// succeeds without having written them (fsync(2), "EIO"). bbolt writes data pages that no meta page
// refers to yet, syncs, writes one meta page, and syncs again. If the first sync failed, the data
// pages are free again and will be rewritten. If the second sync failed, the meta page is only in the
// page cache; bbolt continues from it and may overwrite pages that the older meta page on disk refers
// to. So the newer meta page must be on disk before the next commit begins.
func rewriteMetaPages(path string) error {
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // Sync has already reported any write error
	pages := make([]byte, metaPagesSize())
	if _, err := file.ReadAt(pages, 0); err != nil {
		return err
	}
	if _, err := file.WriteAt(pages, 0); err != nil {
		return err
	}
	return file.Sync()
}
