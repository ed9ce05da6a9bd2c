package agent

import (
	"context"
	"log/slog"
	"path/filepath"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/admin"
	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/downstream"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/agent/upstream"
	"fernbeam.example/fernbeam/internal/balancer"
)

// limitedProcess is what one process of an agent limits.
type limitedProcess struct {
	*sharedLimits
	clients *downstream.Server
	pool    *upstream.Pool
}

func newLimitedProcess(t *testing.T, sockets int) limitedProcess {
	t.Helper()
	cfg := &config.Config{MemoryMB: 64, Sockets: sockets, Settings: balancer.Settings{}}
	clients := downstream.New(t.Context(), cfg, newUnusedListener(), true, nil, nil)
	pool := upstream.NewPool(cfg)
	return limitedProcess{
		sharedLimits: &sharedLimits{
			cfg:    cfg,
			admin:  admin.New(clients, nil, cfg.AdminConns(1), slog.Default()),
			conns:  clients,
			pool:   pool,
			quotas: []message.Quota{clients.ConnSlots(), clients.BodyBudget(), pool.BodyBudget()},
		},
		clients: clients,
		pool:    pool,
	}
}

// available is what is left of each quota and limit, in their order.
func (process limitedProcess) available() []int64 {
	var room []int64
	for _, q := range process.quotas {
		n := q.Size
		for n > 0 && !q.TryAcquire(n) {
			n--
		}
		q.Release(n)
		room = append(room, n)
	}
	return append(room, int64(process.clients.ConnLimit()), int64(process.pool.ConnLimit()))
}

// Two processes of one agent have its limits once: the second has half until the first has ended, and the
// first gives back half when it is told to end.
func TestTwoProcessesShareTheLimits(t *testing.T) {
	lock := filepath.Join(t.TempDir(), "lock")
	first, second := newLimitedProcess(t, 256), newLimitedProcess(t, 256)
	all := first.available()
	firstCtx, firstEnds := context.WithCancel(t.Context())
	if err := first.holdLock(firstCtx, lock); err != nil {
		t.Fatal(err)
	}
	if err := second.holdLock(t.Context(), lock); err != nil {
		t.Fatal(err)
	}
	want := func(who string, process limitedProcess, part int64) {
		t.Helper()
		for i, n := range process.available() {
			if n != all[i]-all[i]/2*(part-1) {
				t.Errorf("%s: limit %d is %d of %d, want one part of %d", who, i, n, all[i], part)
			}
		}
	}
	want("the first", first, 1)
	want("the second", second, 2)
	first.halve(firstCtx)
	first.halve(firstCtx) // once is enough
	for i, n := range first.available()[:3] {
		if n > (all[i]+1)/2 {
			t.Errorf("the ending one: quota %d is %d of %d", i, n, all[i])
		}
	}
	firstEnds()
	for end := time.Now().Add(agenttest.Timeout); ; time.Sleep(time.Millisecond) {
		second.mu.Lock()
		half := second.halved
		second.mu.Unlock()
		if !half {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the second process never has the whole")
		}
	}
	want("the second, alone", second, 1)
}
