package agent

import (
	"context"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"
)

// lockEvery is how often a process that began beside another looks whether that has ended.
const lockPollInterval = 100 * time.Millisecond

// quota bounds something that the process may have so much of.
type quota struct {
	*semaphore.Weighted
	size int64
}

func newQuota(size int64) quota { return quota{semaphore.NewWeighted(size), size} }

// shares are the limits that two processes of one agent share out while both are there, a
// new version beside the old one: each has half of the bytes and of the descriptors.
type sharedLimits struct {
	cfg    *Config
	admin  *adminServer
	conns  *clientConns
	pool   *connectionPool
	quotas []quota

	mu     sync.Mutex
	halved bool
}

// halve leaves this process half of the limits. What it has beyond that it gives back as
// it comes to an end; until then nothing more is taken. Clients' connections that are there
// are left to the emptying, which closes none under a request.
func (s *sharedLimits) halve(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.halved {
		return
	}
	s.halved = true
	for _, q := range s.quotas {
		if !q.TryAcquire(q.size / 2) {
			go func() { _ = q.Acquire(ctx, q.size/2) }() // a process that ends takes no whole again
		}
	}
	s.applyFraction(2)
}

// whole gives this process all of the limits again.
func (s *sharedLimits) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.halved {
		return
	}
	s.halved = false
	s.conns.setLimit(s.cfg.clientConns())
	for _, q := range s.quotas {
		q.Release(q.size / 2)
	}
	s.applyFraction(1)
}

// set puts the limits that are no quotas to a part of what the agent has.
func (s *sharedLimits) applyFraction(part int) {
	if told := s.cfg.Hooks.OnMemoryLimit; told != nil {
		told(s.cfg.MemoryLimit() / int64(part))
	}
	s.pool.setLimit(s.cfg.serverConns() / part)
	s.admin.setLimit(s.cfg.adminConns(part))
}

// takeTurn holds the lock file until ctx is done. While another process has it this one has
// half of the limits. However a holder ends, the kernel gives its lock back.
func (s *sharedLimits) holdLock(ctx context.Context, path string) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("lock: %w", err)
	}
	locked := func() bool { return syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil }
	alone := locked()
	if !alone {
		s.cfg.logger().Info("another process of this agent is running", "limits", "half")
		s.halve(ctx)
		s.conns.setLimit(s.cfg.clientConns() / 2)
	}
	go func() {
		defer f.Close()
		look := time.NewTicker(lockPollInterval)
		defer look.Stop()
		for !alone {
			select {
			case <-look.C:
				if alone = locked(); alone {
					s.restore()
					s.cfg.logger().Info("no other process of this agent is running", "limits", "full")
				}
			case <-ctx.Done():
				return
			}
		}
		look.Stop()
		<-ctx.Done()
	}()
	return nil
}
