package agent

import (
	"context"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

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

// holdLock locks the file at path until ctx is done. While another process holds the lock, this process has half of the
// limits. The kernel releases the lock of a process however the process ends.
func (s *sharedLimits) holdLock(ctx context.Context, path string) error {
	lockFile, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("lock: %w", err)
	}
	locked := tryLock(lockFile)
	if !locked {
		s.cfg.Logger().Info("another process of this agent is running", "limits", "half")
		s.halve(ctx)
		s.downstream.SetConnLimit(s.cfg.MaxClientConns() / 2)
	}
	go func() {
		defer func() { _ = lockFile.Close() }() // nothing was written to the file
		if !locked && !s.awaitLock(ctx, lockFile) {
			return
		}
		<-ctx.Done()
	}()
	return nil
}

// awaitLock waits for the other process to end, then restores the limits and returns true. It returns false if ctx is
// done first.
func (s *sharedLimits) awaitLock(ctx context.Context, file *os.File) bool {
	ticker := time.NewTicker(lockPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if tryLock(file) {
				s.restore()
				s.cfg.Logger().Info("no other process of this agent is running", "limits", "full")
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// tryLock locks a file and reports whether it succeeded; it fails if another process holds the lock.
func tryLock(file *os.File) bool {
	return syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil
}
