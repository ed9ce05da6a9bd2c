package dispatch

import (
	"sync/atomic"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/balancer"
)

// After settings that change who maintains the watch, there is still one, and a failed call is followed by another in
// time. Guards against a watch that nobody opens again, as the mode of the start decides who does.
func TestWatchGoesOnAfterAChangedDiscoveryMode(t *testing.T) {
	for _, modes := range [][]balancer.DiscoveryMode{
		{balancer.DiscoveryOnRequest, balancer.DiscoveryPushed},
		{balancer.DiscoveryPushed, balancer.DiscoveryOnRequest},
		{balancer.DiscoveryOnRequest, balancer.DiscoveryPushed, balancer.DiscoveryOnRequest},
		{balancer.DiscoveryPushed, balancer.DiscoveryOnRequest, balancer.DiscoveryPushed},
	} {
		t.Run(string(modes[0])+" to "+string(modes[len(modes)-1]), func(t *testing.T) {
			t.Parallel()
			var failing atomic.Bool
			addr, calls := agenttest.StartScriptedDiscovery(t, func(int, agenttest.WatchCall) string {
				if failing.Load() {
					return "no list"
				}
				time.Sleep(20 * time.Millisecond)
				return `{"version":50,"full":false,"servers":[]}`
			})
			withMode := func(mode balancer.DiscoveryMode) func(*config.Config) {
				return func(cfg *config.Config) {
					cfg.Discovery = addr
					cfg.Settings.DiscoveryMode = mode
				}
			}
			known := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", "127.0.0.1:1"))
			known.List.Version = 50
			loop := startLoop(t, known, withMode(modes[0]))
			agenttest.NextCall(t, calls)
			for _, mode := range modes[1:] {
				changed := *runInLoop(loop, func() *config.Config { return loop.cfg })
				withMode(mode)(&changed)
				loop.ApplyConfig(&changed)
			}
			for range 3 {
				failing.Store(true)
				waitCounted(t, loop, "a failed call to discovery", func() int { return loop.metrics.ListFailures })
				failing.Store(false)
				began := time.Now()
				waitCounted(t, loop, "an answered call to discovery", func() int { return loop.metrics.Lists })
				if took := time.Since(began); took > agenttest.MaxNotifyDelay {
					t.Errorf("a call was answered only %v after a failure", took)
				}
			}
		})
	}
}

// waitCounted waits until a counter of the loop has grown.
func waitCounted(t *testing.T, loop *testLoop, what string, counter func() int) {
	t.Helper()
	before := runInLoop(loop, counter)
	agenttest.WaitUntil(t, what, func() bool { return runInLoop(loop, counter) > before })
}

// A zone keeps its number when settings name further zones or name them in another order: a server that has been sent a
// request is still compared with the others by its zone. The agent's own zone is that of the settings in force.
func TestZonesKeepTheirNumbers(t *testing.T) {
	list := newEndpointList(&balancer.Settings{Zones: []string{"east", "west"}})
	before := map[string]int{}
	for _, name := range []string{"east", "west", "north", "south", ""} {
		before[name] = list.zones.number(name)
		for other, number := range before {
			if other != name && number == before[name] {
				t.Errorf("zones %q and %q have the number %d", name, other, number)
			}
		}
	}
	for _, test := range []struct {
		zones []string
		zone  int
		own   int
	}{
		{[]string{"east", "west"}, 1, before["west"]},
		{[]string{"south", "west", "east"}, 0, before["south"]},
		{[]string{"south"}, 1, unknownZone},
		{nil, 0, unknownZone},
	} {
		own := list.policySettings(balancer.Settings{Zones: test.zones, Zone: test.zone}).Zone
		if own != test.own {
			t.Errorf("zone %d of %q has the number %d, want %d", test.zone, test.zones, own, test.own)
		}
	}
	for name, number := range before {
		if got := list.zones.number(name); got != number {
			t.Errorf("zone %q had the number %d and has %d", name, number, got)
		}
	}
}
