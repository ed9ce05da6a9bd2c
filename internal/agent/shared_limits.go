package agent

import (
	"context"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/message"
)

// lockPollInterval is how often a process that was started while another one was running checks whether the other one
// has ended.
const lockPollInterval = 100 * time.Millisecond

// connLimiter limits the connections of one component of the agent.
type connLimiter interface{ SetConnLimit(maxConns int) }

// sharedLimits holds the limits that two processes of the same agent share while both are running, as during an
// upgrade: each process gets half of the memory and of the descriptors.
type sharedLimits struct {
	cfg        *config.Config
	admin      connLimiter
	downstream connLimiter
	pool       connLimiter
	quotas     []message.Quota

	mu     sync.Mutex
	halved bool
}

// halve reduces the limits of this process to half. Where more than half of a quota is in use, nothing more is acquired
// from it until enough has been released. Open client connections are left to the drain, which doesn't close those with
// an open request.
func (s *sharedLimits) halve(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.halved {
		return
	}
	s.halved = true
	for _, quota := range s.quotas {
		if !quota.TryAcquire(quota.Size / 2) {
			// Acquire fails only when the process is ending, and then the limits no longer matter.
			go func() { _ = quota.Acquire(ctx, quota.Size/2) }()
		}
	}
	s.divide(2)
}

// restore reverts halve.
func (s *sharedLimits) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.halved {
		return
	}
	s.halved = false
	s.downstream.SetConnLimit(s.cfg.MaxClientConns())
	for _, quota := range s.quotas {
		quota.Release(quota.Size / 2)
	}
	s.divide(1)
}

// divide sets the limits other than the quotas to the share of one of the given number of processes.
func (s *sharedLimits) divide(processes int) {
	if onMemoryLimit := s.cfg.Hooks.OnMemoryLimit; onMemoryLimit != nil {
		onMemoryLimit(s.cfg.MemoryLimit() / int64(processes))
	}
	s.pool.SetConnLimit(s.cfg.MaxServerConns() / processes)
	s.admin.SetConnLimit(s.cfg.MaxAdminConns(processes))
}

// holdLock locks the file at path until ctx is done. While another process holds the lock, this process has half of
// the limits, and so has the process that holds it, as it sees by announceWaiting. The kernel releases the locks of a
// process however the process ends.
func (s *sharedLimits) holdLock(ctx context.Context, path string) error {
	lockFile, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("lock: %w", err)
	}
	locked := tryLock(lockFile)
	if !locked {
		s.cfg.Logger().Info("another process of this agent is running", "limits", "half")
		s.share(ctx)
	}
	go func() {
		defer func() { _ = lockFile.Close() }() // nothing was written to the file
		if !locked && !s.awaitLock(ctx, lockFile) {
			return
		}
		s.watchWaiting(ctx, lockFile)
	}()
	return nil
}

// share reduces the limits to half, also that on open client connections, of which idle ones are closed.
func (s *sharedLimits) share(ctx context.Context) {
	s.halve(ctx)
	s.downstream.SetConnLimit(s.cfg.MaxClientConns() / 2)
}

// watchWaiting has half of the limits while another process waits for the lock, until ctx is done.
func (s *sharedLimits) watchWaiting(ctx context.Context, file *os.File) {
	ticker := time.NewTicker(lockPollInterval)
	defer ticker.Stop()
	for shared := false; ; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		waits := anotherWaits(file)
		switch {
		case waits && !shared:
			s.cfg.Logger().Info("another process of this agent has started", "limits", "half")
			s.share(ctx)
		case shared && !waits:
			s.restore()
		}
		shared = waits
	}
}

// awaitLock waits for the other process to end, then restores the limits and returns true. It returns false if ctx is
// done first.
func (s *sharedLimits) awaitLock(ctx context.Context, file *os.File) bool {
	ticker := time.NewTicker(lockPollInterval)
	defer ticker.Stop()
	announceWaiting(file, true)
	for {
		select {
		case <-ticker.C:
			if tryLock(file) {
				announceWaiting(file, false)
				s.restore()
				s.cfg.Logger().Info("no other process of this agent is running", "limits", "full")
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// waitingRange returns the range of the lock file that a process locks while it waits for another one to end. Locks of
// ranges are independent of the lock of the whole file.
func waitingRange(lockType int16) unix.Flock_t { return unix.Flock_t{Type: lockType, Len: 1} }

// announceWaiting tells the process that holds the lock of a file whether this one waits for it. If that fails, the
// other process learns of this one when it shuts down.
func announceWaiting(file *os.File, waits bool) {
	lockType := int16(unix.F_UNLCK)
	if waits {
		lockType = unix.F_WRLCK
	}
	lock := waitingRange(lockType)
	_ = unix.FcntlFlock(file.Fd(), unix.F_OFD_SETLK, &lock)
}

// anotherWaits reports whether another process waits for the lock of a file.
func anotherWaits(file *os.File) bool {
	lock := waitingRange(unix.F_WRLCK)
	err := unix.FcntlFlock(file.Fd(), unix.F_OFD_GETLK, &lock)
	return err == nil && lock.Type != unix.F_UNLCK
}

// tryLock locks a file and reports whether it succeeded; it fails if another process holds the lock.
func tryLock(file *os.File) bool {
	return syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil
}
