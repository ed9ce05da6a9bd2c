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

// lockPollInterval is how often a process that was started beside another checks whether that has ended.
const lockPollInterval = 100 * time.Millisecond

// connLimiter bounds the connections of one side of the agent.
type connLimiter interface{ SetConnLimit(maxConns int) }

// sharedLimits are the limits that two processes of one agent share while both are running, a new version
// beside the old one: each has half of the bytes and of the descriptors.
type sharedLimits struct {
	cfg    *config.Config
	admin  connLimiter
	conns  connLimiter
	pool   connLimiter
	quotas []message.Quota

	mu     sync.Mutex
	halved bool
}

// halve leaves this process half of the limits. What it has acquired beyond that it releases as its use ends;
// until then nothing more is acquired. Client connections that are open are left to the drain, which closes none
// that has an open request.
func (s *sharedLimits) halve(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.halved {
		return
	}
	s.halved = true
	for _, quota := range s.quotas {
		if !quota.TryAcquire(quota.Size / 2) {
			// An error is the end of the process, which needs no full limits.
			go func() { _ = quota.Acquire(ctx, quota.Size/2) }()
		}
	}
	s.divide(2)
}

// restore gives this process all of the limits again.
func (s *sharedLimits) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.halved {
		return
	}
	s.halved = false
	s.conns.SetConnLimit(s.cfg.MaxClientConns())
	for _, quota := range s.quotas {
		quota.Release(quota.Size / 2)
	}
	s.divide(1)
}

// divide divides the limits that are not quotas among that many processes.
func (s *sharedLimits) divide(processes int) {
	if onMemoryLimit := s.cfg.Hooks.OnMemoryLimit; onMemoryLimit != nil {
		onMemoryLimit(s.cfg.MemoryLimit() / int64(processes))
	}
	s.pool.SetConnLimit(s.cfg.MaxServerConns() / processes)
	s.admin.SetConnLimit(s.cfg.MaxAdminConns(processes))
}

// holdLock locks the file until ctx is done. While another process has it locked this one has half of the limits.
// However a process ends, the kernel releases its lock.
func (s *sharedLimits) holdLock(ctx context.Context, path string) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("lock: %w", err)
	}
	alone := tryLock(file)
	if !alone {
		s.cfg.Logger().Info("another process of this agent is running", "limits", "half")
		s.halve(ctx)
		s.conns.SetConnLimit(s.cfg.MaxClientConns() / 2)
	}
	go func() {
		defer func() { _ = file.Close() }() // nothing was written to it
		if !alone && !s.awaitLock(ctx, file) {
			return
		}
		<-ctx.Done()
	}()
	return nil
}

// awaitLock waits for the end of the other process and restores the limits; false: ctx was done before that.
func (s *sharedLimits) awaitLock(ctx context.Context, file *os.File) bool {
	poll := time.NewTicker(lockPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-poll.C:
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

// tryLock locks a file unless another process has it locked.
func tryLock(file *os.File) bool {
	return syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil
}
