package agent

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

func newSharedLimits(sockets int) *sharedLimits {
	cfg := &Config{MemoryMB: 64, Sockets: sockets, Settings: balancer.Settings{}}
	s := &sharedLimits{cfg: cfg, admin: newAdminServer(nil, nil, cfg.adminConns(1)), conns: newClientConns(cfg.clientConns()), pool: newConnectionPool(cfg)}
	s.quotas = []quota{s.conns.slots, newBodyBudget(cfg), s.pool.budget}
	return s
}

// available is what is left of each quota and limit, in their order.
func (s *sharedLimits) available() []int64 {
	var room []int64
	for _, q := range s.quotas {
		n := q.size
		for n > 0 && !q.TryAcquire(n) {
			n--
		}
		q.Release(n)
		room = append(room, n)
	}
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return append(room, int64(s.conns.maxConns), int64(s.pool.maxConns))
}

// Two processes of one agent have its limits once: the second has half until the first has ended, and the
// first gives back half when it is told to end.
func TestTwoProcessesShareTheLimits(t *testing.T) {
	lock := filepath.Join(t.TempDir(), "lock")
	first, second := newSharedLimits(256), newSharedLimits(256)
	all := first.available()
	firstCtx, firstEnds := context.WithCancel(t.Context())
	if err := first.holdLock(firstCtx, lock); err != nil {
		t.Fatal(err)
	}
	if err := second.holdLock(t.Context(), lock); err != nil {
		t.Fatal(err)
	}
	want := func(who string, s *sharedLimits, part int64) {
		t.Helper()
		for i, n := range s.available() {
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
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
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

// Whatever a configuration allows, one process and two side by side stay within its descriptors with every
// slot used, and each side has some.
func TestDescriptorLimitsAddUp(t *testing.T) {
	for sockets := minSockets; sockets <= 1024; sockets++ {
		c := &Config{Sockets: sockets}
		one := c.clientConns() + c.serverConns() + c.adminConns(1) + fixedSockets
		two := 2 * ((c.clientConns()+1)/2 + c.serverConns()/2 + c.adminConns(2) + fixedSockets)
		if one > sockets || two > sockets || c.clientConns() < 16 || c.adminConns(2) < 2 {
			t.Fatalf("%d descriptors: one process takes %d, two %d; %d for clients, %d for operators", sockets, one, two,
				c.clientConns(), c.adminConns(2))
		}
	}
}
