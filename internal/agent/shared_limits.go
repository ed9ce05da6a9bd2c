package agent

import (
	"context"
	"sync"
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
	observer   lockObserver // may be nil

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

// followLock divides the limits by the lock until ctx is done, and then closes it. While another process holds the
// lock, this process has half of the limits, and so has the process that holds it, as it sees by announceWaiting.
func (s *sharedLimits) followLock(ctx context.Context, lock *processLock) {
	held := lock.held
	if !held {
		s.cfg.Logger().Info("another process of this agent is running", "limits", "half")
		s.share(ctx)
	}
	go func() {
		defer lock.close()
		if !held && !s.awaitLock(ctx, lock) {
			return
		}
		if s.observer != nil {
			s.observer.acquired(ctx)
			defer s.observer.releasing()
		}
		s.watchWaiting(ctx, lock)
	}()
}

// share reduces the limits to half, also that on open client connections, of which idle ones are closed.
func (s *sharedLimits) share(ctx context.Context) {
	s.halve(ctx)
	s.downstream.SetConnLimit(s.cfg.MaxClientConns() / 2)
}

// watchWaiting has half of the limits while another process waits for the lock, until ctx is done.
func (s *sharedLimits) watchWaiting(ctx context.Context, lock *processLock) {
	ticker := time.NewTicker(lockPollInterval)
	defer ticker.Stop()
	for shared := false; ; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		waits := lock.anotherWaits()
		switch {
		case waits && !shared:
			s.cfg.Logger().Info("another process of this agent has started", "limits", "half")
			s.share(ctx)
			if s.observer != nil {
				s.observer.otherWaits()
			}
		case shared && !waits:
			s.restore()
		}
		shared = waits
	}
}

// awaitLock waits for the other process to end, then restores the limits and returns true. It returns false if ctx is
// done first.
func (s *sharedLimits) awaitLock(ctx context.Context, lock *processLock) bool {
	ticker := time.NewTicker(lockPollInterval)
	defer ticker.Stop()
	lock.announceWaiting(true)
	for {
		select {
		case <-ticker.C:
			if s.observer != nil {
				s.observer.otherHolds()
			}
			if lock.tryLock() {
				lock.announceWaiting(false)
				s.restore()
				s.cfg.Logger().Info("no other process of this agent is running", "limits", "full")
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}
