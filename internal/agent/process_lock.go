package agent

import (
	"context"
	"fmt"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// lockObserver is notified of what becomes of a processLock. One goroutine calls its methods.
type lockObserver interface {
	// otherHolds is called from time to time while another process holds the lock.
	otherHolds()
	// acquired is called once this process holds the lock, which it does until ctx is done.
	acquired(ctx context.Context)
	// otherWaits is called when another process begins to wait for the lock.
	otherWaits()
	// releasing is called before this process releases the lock.
	releasing()
}

// processLock is the lock of a file by which processes of the same agent detect each other. The kernel releases the
// locks of a process however the process ends.
type processLock struct {
	file *os.File
	held bool // by this process
}

// openProcessLock opens the lock file at path and takes the lock unless another process holds it.
func openProcessLock(path string) (*processLock, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("lock: %w", err)
	}
	lock := &processLock{file: file}
	lock.tryLock()
	return lock, nil
}

// tryLock takes the lock and reports whether this process holds it now; it fails if another process does.
func (l *processLock) tryLock() bool {
	l.held = l.held || syscall.Flock(int(l.file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil
	return l.held
}

// close releases the lock if this process holds it.
func (l *processLock) close() { _ = l.file.Close() } // nothing was written to the file

// waitingRange returns the range of the lock file that a process locks while it waits for another one to end. Locks of
// ranges are independent of the lock of the whole file.
func waitingRange(lockType int16) unix.Flock_t { return unix.Flock_t{Type: lockType, Len: 1} }

// announceWaiting tells the process that holds the lock whether this one waits for it. If that fails, the other process
// learns of this one when it shuts down.
func (l *processLock) announceWaiting(waits bool) {
	lockType := int16(unix.F_UNLCK)
	if waits {
		lockType = unix.F_WRLCK
	}
	lock := waitingRange(lockType)
	_ = unix.FcntlFlock(l.file.Fd(), unix.F_OFD_SETLK, &lock)
}

// anotherWaits reports whether another process waits for the lock.
func (l *processLock) anotherWaits() bool {
	lock := waitingRange(unix.F_WRLCK)
	err := unix.FcntlFlock(l.file.Fd(), unix.F_OFD_GETLK, &lock)
	return err == nil && lock.Type != unix.F_UNLCK
}
