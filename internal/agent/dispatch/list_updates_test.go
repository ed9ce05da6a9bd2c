package dispatch

import (
	"maps"
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

// indentedList is a full list of version 2, formatted with white space.
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

// startWatchingLoop starts a loop that has a list of version 50 with one server, and watches discovery at addr.
func startWatchingLoop(t *testing.T, addr string) *testLoop {
	t.Helper()
	known := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", "127.0.0.1:1"))
	known.List.Version = 50
	return startLoop(t, known, func(cfg *config.Config) {
		cfg.Discovery = addr
		cfg.Settings.DiscoveryMode = balancer.DiscoveryPushed
	})
}

// A list change is applied within 6 s after discovery can send it, even if a call was open when discovery stopped
// responding, and with the polling interval of a fleet of 300 agents.
func TestChangesArriveInTimeAfterDiscoveryStall(t *testing.T) {
	for _, mode := range []balancer.DiscoveryMode{balancer.DiscoveryPushed, balancer.DiscoveryOnRequest} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			var stalled atomic.Bool
			addr, calls := agenttest.StartScriptedDiscovery(t, func(n int, _ agenttest.WatchCall) string {
				switch {
				case !stalled.Load() && n > 0: // discovery stops responding with the second call open
					stalled.Store(true)
					return ""
				case stalled.Load():
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
			stalledSince := time.Now()
			agenttest.WaitUntil(t, "the list change is applied", func() bool {
				return runInLoop(loop, func() bool { return !loop.endpoints.byID["s-1"].IsAvailable() })
			})
			if took := time.Since(stalledSince); took > agenttest.MaxNotifyDelay {
				t.Errorf("list change was applied after %v", took)
			}
		})
	}
}

// Responses that are not a list, are truncated or have an older version are logged, do not change the list in force,
// and are followed by another call.
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
			addr, calls := agenttest.StartScriptedDiscovery(t, func(n int, _ agenttest.WatchCall) string {
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
				wantIndex = "" // the full list
			}
			if call := agenttest.NextCall(t, calls); call.Index != wantIndex {
				t.Errorf("next call has index %q, want %q", call.Index, wantIndex)
			}
			if !runInLoop(loop, func() bool {
				server := loop.endpoints.byID["s-1"]
				return server != nil && server.IsAvailable() && loop.list.version == 50
			}) {
				t.Error("list in force has changed")
			}
		})
	}
}

// After a restart discovery may count versions from the beginning. The agent then requests the full list, accepts it
// despite its lower version, and continues to watch from there.
func TestRestartedDiscoveryIsWatched(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var indexes []string
	addr, _ := agenttest.StartScriptedDiscovery(t, func(n int, call agenttest.WatchCall) string {
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
	agenttest.WaitUntil(t, "the list of the restarted discovery is in force", func() bool {
		return runInLoop(loop, func() bool {
			servers := loop.endpoints.byID
			return len(servers) == 2 && servers["s-2"] != nil && servers["s-3"] != nil && loop.list.version == 3
		})
	})
	mu.Lock()
	defer mu.Unlock()
	if !slices.Equal(indexes[:3], []string{"50", "", "2"}) {
		t.Errorf("calls have indexes %q, want 50, none, 2", indexes)
	}
}

// After a move, the list of the new source replaces the one of the old source, though a watch from version 0 gets only
// changes: a server that only the old source listed is gone, and so it is when a source begins its versions anew.
func TestListOfAnotherSourceReplacesTheList(t *testing.T) {
	const servers = `"servers":[{"id":"s-2","addr":"127.0.0.1:2","state":"up"}]}`
	answer := func(_ int, call agenttest.WatchCall) string {
		switch call.Index {
		case "":
			return `{"version":3,"full":true,` + servers
		case "0":
			return `{"version":3,"full":false,` + servers
		case "50":
			return `{"version":3,"full":false,"servers":[]}`
		}
		return ""
	}
	for name, isMove := range map[string]bool{"moved": true, "older versions": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, _ := agenttest.StartScriptedDiscovery(t, answer)
			first := addr
			if isMove {
				first, _ = agenttest.StartScriptedDiscovery(t, func(int, agenttest.WatchCall) string { return "" })
			}
			loop := startWatchingLoop(t, first)
			if isMove {
				loop.discovery.MoveTo(addr)
			}
			agenttest.WaitUntil(t, "the list of the source is in force", func() bool {
				return runInLoop(loop, func() bool { return loop.list.version == 3 })
			})
			ids := runInLoop(loop, func() []string { return slices.Sorted(maps.Keys(loop.endpoints.byID)) })
			if !slices.Equal(ids, []string{"s-2"}) {
				t.Errorf("listed servers %v, want s-2 alone", ids)
			}
		})
	}
}

// A list without servers at version 0, as a new service has it, is requested once and then watched.
func TestEmptyListAtVersionZeroIsWatched(t *testing.T) {
	t.Parallel()
	addr, calls := agenttest.StartScriptedDiscovery(t, func(_ int, call agenttest.WatchCall) string {
		if call.Index == "" {
			return `{"version":0,"full":true,"servers":[]}`
		}
		return ""
	})
	known := agenttest.NewDiscovery(t)
	known.List.Version = 0
	startLoop(t, known, func(cfg *config.Config) {
		cfg.Discovery = addr
		cfg.Settings.DiscoveryMode = balancer.DiscoveryPushed
	})
	for _, want := range []string{"", "0", "0"} {
		if call := agenttest.NextCall(t, calls); call.Index != want {
			t.Errorf("call with index %q, want %q", call.Index, want)
		}
	}
}
