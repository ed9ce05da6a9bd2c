package dispatch

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/balancer"
)

// indentedList is a full list of version 2, with white space.
const indentedList = `{
  "version": 2,
  "full": true,
  "servers": [
    {
      "id": "s-2",
      "addr": "127.0.0.1:2",
      "state": "up"
    }
  ]
}
`

// startWatchingLoop starts a loop that knows one server by a list of version 50, and watches discovery at addr.
func startWatchingLoop(t *testing.T, addr string) *testLoop {
	t.Helper()
	known := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", "127.0.0.1:1"))
	known.List.Version = 50
	return startLoop(t, known, func(cfg *config.Config) {
		cfg.Discovery = addr
		cfg.Settings.DiscoveryMode = balancer.DiscoveryPushed
	})
}

// A change that discovery can send is known within 6 s, also where a call was open when discovery fell silent, and
// where three hundred agents share the calls.
func TestChangesArriveInTimeAfterDiscoveryStall(t *testing.T) {
	for _, mode := range []balancer.DiscoveryMode{balancer.DiscoveryPushed, balancer.DiscoveryOnRequest} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			var silent atomic.Bool
			addr, calls := agenttest.ScriptedDiscovery(t, func(n int, _ agenttest.WatchCall) string {
				switch {
				case !silent.Load() && n > 0: // the second call is open when discovery falls silent
					silent.Store(true)
					return ""
				case silent.Load():
					return `{"version":9,"full":false,"servers":[{"id":"s-1","addr":"127.0.0.1:1","state":"draining"}]}`
				}
				return `{"version":8,"full":false,"servers":[]}`
			})
			known := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", "127.0.0.1:1"))
			loop := startLoop(t, known, func(cfg *config.Config) {
				cfg.Discovery = addr
				cfg.Settings.DiscoveryMode = mode
				cfg.Settings.FleetSize = 300
				cfg.Settings.Contract.PollWithinMs = 10000
			})
			agenttest.NextCall(t, calls)
			agenttest.NextCall(t, calls)
			silentSince := time.Now()
			agenttest.WaitUntil(t, "the change is known", func() bool {
				return runInLoop(loop, func() bool { return !loop.endpoints.byID["s-1"].IsAvailable() })
			})
			if took := time.Since(silentSince); took > agenttest.NotifiedWithin {
				t.Errorf("the change was known after %v", took)
			}
		})
	}
}

// Responses that are no list, are cut off or have an older version change nothing, are logged, and are
// followed by another call.
func TestInvalidResponsesChangeNothing(t *testing.T) {
	entry := `{"id":"s-1","addr":"127.0.0.1:1","state":"draining"}`
	for name, text := range map[string]string{
		"empty":          " ",
		"null":           "null",
		"no fields":      "{}",
		"no object":      "[" + entry + "]",
		"cut off":        `{"version":60,"full":false,"servers":[` + entry,
		"two lists":      `{"version":60,"full":false,"servers":[` + entry + `]}{}`,
		"no version":     `{"full":false,"servers":[` + entry + `]}`,
		"full of none":   `{"version":60,"full":true}`,
		"full of null":   `{"version":60,"full":true,"servers":null}`,
		"wrong type":     `{"version":60,"full":false,"servers":[{"id":7}]}`,
		"negative":       `{"version":-60,"full":false,"servers":[` + entry + `]}`,
		"older version":  `{"version":40,"full":false,"servers":[` + entry + `]}`,
		"full and older": `{"version":40,"full":true,"servers":[]}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			addr, calls := agenttest.ScriptedDiscovery(t, func(n int, _ agenttest.WatchCall) string {
				if n == 0 {
					<-release
					return text
				}
				return ""
			})
			loop := startWatchingLoop(t, addr)
			close(release)
			agenttest.WaitLine(t, loop.log, "discovery call failed")
			agenttest.NextCall(t, calls)
			wantIndex := "50"
			if strings.Contains(name, "older") {
				wantIndex = "0"
			}
			if call := agenttest.NextCall(t, calls); call.Index != wantIndex {
				t.Errorf("the next call has index %s, want %s", call.Index, wantIndex)
			}
			if !runInLoop(loop, func() bool {
				server := loop.endpoints.byID["s-1"]
				return server != nil && server.IsAvailable() && loop.list.version == 50
			}) {
				t.Error("the list has changed")
			}
		})
	}
}

// A discovery that starts again counts its versions from the beginning. Its response to a call for the full list is
// accepted, and watched from there.
func TestRestartedDiscoveryIsWatched(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var indexes []string
	addr, _ := agenttest.ScriptedDiscovery(t, func(n int, call agenttest.WatchCall) string {
		mu.Lock()
		indexes = append(indexes, call.Index)
		mu.Unlock()
		switch n {
		case 0:
			return `{"version":2,"full":false,"servers":[]}`
		case 1:
			return indentedList
		case 2:
			return `{"version":3,"full":false,"servers":[{"id":"s-3","addr":"127.0.0.1:3","state":"up"}]}`
		}
		return ""
	})
	loop := startWatchingLoop(t, addr)
	agenttest.WaitUntil(t, "the list of the discovery that started again is followed", func() bool {
		return runInLoop(loop, func() bool {
			servers := loop.endpoints.byID
			return len(servers) == 2 && servers["s-2"] != nil && servers["s-3"] != nil && loop.list.version == 3
		})
	})
	mu.Lock()
	defer mu.Unlock()
	if !slices.Equal(indexes[:3], []string{"50", "0", "2"}) {
		t.Errorf("calls with the indexes %v", indexes)
	}
}
