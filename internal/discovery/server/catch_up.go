package server

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/hashicorp/raft"
)

const (
	// catchUpWithin is how long after an outage of the store an instance may take to apply what
	// the leader had committed, before it asks again.
	catchUpTimeout = 10 * time.Second
	// catchUpPause is the time between two looks at what is applied.
	catchUpInterval = 50 * time.Millisecond
)

// refuseWithoutStore answers a write with 503 while the store is unavailable, and tells whether
// it did.
func (n *Node) rejectWithoutStore(w http.ResponseWriter) bool {
	err := n.store.available()
	if err != nil {
		w.Header().Set("Retry-After", "1")
		http.Error(w, fmt.Sprintf("listsvc %s: %v", n.cfg.ID, err), http.StatusServiceUnavailable)
	}
	return err != nil
}

// catchUp ends, after the numbered outage of the store, the time in which the list counts as of
// the outage's begin: once it has applied all that was committed when the leader was asked. A
// heartbeat alone does not tell: it comes before the entries that were missed.
func (n *Node) catchUp(outages int) {
	for !n.isClosed() {
		if n.appliedAllCommitted() {
			n.store.health.caughtUp(outages)
			return
		}
		time.Sleep(catchUpInterval)
	}
}

// awaitCaughtUp gives an instance that works but has not caught up a moment to do so, as at a start;
// it tells whether it has.
func (n *Node) awaitCaughtUp() bool {
	for end := time.Now().Add(readIndexTimeout); n.store.available() == nil && !n.isClosed(); time.Sleep(catchUpInterval / 10) {
		if n.store.health.behindSince(time.Now(), n.store.outageLimit).IsZero() {
			return true
		}
		if time.Now().After(end) {
			break
		}
	}
	return false
}

func (n *Node) isClosed() bool {
	select {
	case <-n.closed:
		return true
	default:
		return false
	}
}

// appliedAllCommitted asks the leader what is committed, and tells whether this instance has applied
// as much soon after. Each question adds an entry to the log.
func (n *Node) appliedAllCommitted() bool {
	if n.raft.State() == raft.Leader {
		return n.raft.Barrier(readIndexTimeout).Error() == nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), readIndexTimeout)
	defer cancel()
	leader, err := n.leaderStatus(ctx)
	if err != nil {
		return false
	}
	for end := time.Now().Add(catchUpTimeout); time.Now().Before(end) && !n.isClosed(); time.Sleep(catchUpInterval) {
		if n.raft.AppliedIndex() >= leader.Applied && n.state.currentVersion() >= leader.Version {
			return true
		}
	}
	return false
}

// metaBytes covers the two meta pages at the head of a bbolt file (one page each).
func metaPagesSize() int { return 2 * os.Getpagesize() }

// rewriteMeta writes the two meta pages of a bbolt file again as they are, and syncs them. After a
// sync that failed Linux may drop what was to be written and count it as clean, so that a later
// sync succeeds without it (fsync(2), "EIO"). bbolt writes data pages that no meta page refers to
// yet, syncs, writes one meta page and syncs. If the first sync failed the data pages are free
// again and are written anew; if the second did, the meta page is in the page cache, bbolt goes
// on from it and may overwrite what the older one on disk refers to. So it has to be on disk
// before the next commit begins.
func rewriteMetaPages(path string) error {
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer file.Close()
	pages := make([]byte, metaPagesSize())
	if _, err := file.ReadAt(pages, 0); err != nil {
		return err
	}
	if _, err := file.WriteAt(pages, 0); err != nil {
		return err
	}
	return file.Sync()
}
