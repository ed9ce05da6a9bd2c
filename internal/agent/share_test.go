package agent

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

func newShares(sockets int) *shares {
	cfg := &Config{MemoryMB: 64, Sockets: sockets, Settings: balancer.Settings{}}
	s := &shares{cfg: cfg, door: newManagement(nil, nil, cfg.operatorConns(1)), conns: newClientConns(cfg.clientConns()), pool: newPool(cfg)}
	s.quotas = []quota{s.conns.slots, newBudget(cfg), s.pool.budget}
	return s
}

// room is what is left of each quota and limit, in their order.
func (s *shares) room() []int64 {
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
	return append(room, int64(s.conns.max), int64(s.pool.max))
}

// Two processes of one agent have its limits once: the second has half until the first has
// ended, and the first gives up half when it is told to end.
func TestTwoProcessesShareTheLimits(t *testing.T) {
	lock := filepath.Join(t.TempDir(), "lock")
	first, second := newShares(256), newShares(256)
	all := first.room()
	firstCtx, firstEnds := context.WithCancel(t.Context())
	if err := first.takeTurn(firstCtx, lock); err != nil {
		t.Fatal(err)
	}
	if err := second.takeTurn(t.Context(), lock); err != nil {
		t.Fatal(err)
	}
	want := func(who string, s *shares, part int64) {
		t.Helper()
		for i, n := range s.room() {
			if n != all[i]-all[i]/2*(part-1) {
				t.Errorf("%s: limit %d is %d of %d, want one part of %d", who, i, n, all[i], part)
			}
		}
	}
	want("the first", first, 1)
	want("the second", second, 2)
	first.halve(firstCtx)
	first.halve(firstCtx) // once is enough
	for i, n := range first.room()[:3] {
		if n > (all[i]+1)/2 {
			t.Errorf("the ending one: quota %d is %d of %d", i, n, all[i])
		}
	}
	firstEnds()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		second.mu.Lock()
		half := second.half
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

// Whatever a configuration allows, one process and two side by side stay within its descriptors
// with every slot taken, and each side has some.
func TestDescriptorsAddUp(t *testing.T) {
	for sockets := minSockets; sockets <= 1024; sockets++ {
		c := &Config{Sockets: sockets}
		one := c.clientConns() + c.backendConns() + c.operatorConns(1) + fixedSockets
		two := 2 * ((c.clientConns()+1)/2 + c.backendConns()/2 + c.operatorConns(2) + fixedSockets)
		if one > sockets || two > sockets || c.clientConns() < 16 || c.operatorConns(2) < 2 {
			t.Fatalf("%d descriptors: one process takes %d, two %d; %d for clients, %d for operators", sockets, one, two,
				c.clientConns(), c.operatorConns(2))
		}
	}
}
