package agent

import (
	"context"
	"log/slog"
	"path/filepath"
	"slices"
	"sort"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/admin"
	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/downstream"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/agent/upstream"
	"fernbeam.example/fernbeam/internal/balancer"
)

// limitedProcess has the limits of one process of an agent, and the client and server side to which they apply.
type limitedProcess struct {
	*sharedLimits
	clients *downstream.Server
	pool    *upstream.Pool
}

func newLimitedProcess(t *testing.T) limitedProcess {
	t.Helper()
	cfg := &config.Config{MemoryMB: 64, Sockets: 256, Settings: balancer.Settings{}}
	pool := upstream.NewPool(cfg)
	clients := downstream.New(t.Context(), cfg, downstream.Options{
		Listener: newUnusedListener(),
		Shared:   true,
		Streams:  pool.Streams(),
	})
	return limitedProcess{
		sharedLimits: &sharedLimits{
			cfg:        cfg,
			admin:      admin.New(admin.Options{Drainer: clients, MaxConns: cfg.MaxAdminConns(1), Log: slog.Default()}),
			downstream: clients,
			pool:       pool,
			quotas: append(clients.RequestBudgets(),
				clients.ConnSlots(), clients.BodyBudget(), pool.BodyBudget(), pool.Streams()),
		},
		clients: clients,
		pool:    pool,
	}
}

// openLock opens the lock file at path.
func openLock(t *testing.T, path string) *processLock {
	t.Helper()
	lock, err := openProcessLock(path)
	if err != nil {
		t.Fatal(err)
	}
	return lock
}

// available returns the free part of each quota, followed by the limits on client and server connections.
func (process limitedProcess) available() []int64 {
	var available []int64
	for _, quota := range process.quotas {
		available = append(available, free(quota))
	}
	return append(available, int64(process.clients.ConnLimit()), int64(process.pool.ConnLimit()))
}

// free returns the free part of a quota.
func free(quota message.Quota) int64 {
	tooMany := sort.Search(int(quota.Size)+1, func(n int) bool {
		acquired := quota.TryAcquire(int64(n))
		if acquired {
			quota.Release(int64(n))
		}
		return !acquired
	})
	return int64(max(tooMany-1, 0))
}

// wantAvailable checks the quotas and limits that are available to a process.
func wantAvailable(t *testing.T, name string, process limitedProcess, want []int64) {
	t.Helper()
	if got := process.available(); !slices.Equal(got, want) {
		t.Errorf("%s: available %v, want %v", name, got, want)
	}
}

// Two processes of one agent share its limits. The second has half of them until the first has ended, and the first has
// half as soon as the second has started.
func TestTwoProcessesShareTheLimits(t *testing.T) {
	lock := filepath.Join(t.TempDir(), "lock")
	first, second := newLimitedProcess(t), newLimitedProcess(t)
	all := first.available()
	firstCtx, endFirst := context.WithCancel(t.Context())
	first.followLock(firstCtx, openLock(t, lock))
	wantAvailable(t, "the first process", first, all)
	second.followLock(t.Context(), openLock(t, lock))
	half := make([]int64, len(all))
	for i, limit := range all {
		half[i] = limit - limit/2
	}
	wantAvailable(t, "the second process", second, half)
	agenttest.WaitUntil(t, "the first process has half of the limits", func() bool {
		return slices.Equal(first.available(), half)
	})
	first.halve(firstCtx)
	first.halve(firstCtx) // the second call has no effect
	for i, available := range first.available()[:len(first.quotas)] {
		if available > (all[i]+1)/2 {
			t.Errorf("first process during its shutdown: quota %d has %d of %d available, want half", i, available, all[i])
		}
	}
	endFirst()
	agenttest.WaitUntil(t, "the second process has all of the limits", func() bool {
		second.mu.Lock()
		defer second.mu.Unlock()
		return !second.halved
	})
	wantAvailable(t, "the second process, alone", second, all)
}

// A process has all of the limits again once another one that waited beside it has ended.
func TestLimitsAreRestoredWhenTheOtherProcessEnds(t *testing.T) {
	lock := filepath.Join(t.TempDir(), "lock")
	first, second := newLimitedProcess(t), newLimitedProcess(t)
	all := first.available()
	first.followLock(t.Context(), openLock(t, lock))
	secondCtx, endSecond := context.WithCancel(t.Context())
	defer endSecond()
	second.followLock(secondCtx, openLock(t, lock))
	agenttest.WaitUntil(t, "the first process shares the limits", func() bool {
		return !slices.Equal(first.available(), all)
	})
	endSecond()
	agenttest.WaitUntil(t, "the first process has all of the limits", func() bool {
		return slices.Equal(first.available(), all)
	})
}
