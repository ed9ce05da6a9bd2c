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

// What discovery has and can tell is known within 6 s, also where a call stood when it fell
// silent, and where three hundred agents have to share it out.
func TestChangesArriveInTimeAfterASilence(t *testing.T) {
	for _, mode := range []balancer.DiscoveryMode{balancer.DiscoveryPushed, balancer.DiscoveryOnRequest} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			var silent atomic.Bool
			addr, calls := agenttest.ScriptedDiscovery(t, func(n int, c agenttest.WatchCall) string {
				switch {
				case !silent.Load() && n > 0: // the second watch call stands when it falls silent
					silent.Store(true)
					return ""
				case silent.Load():
					return `{"version":9,"full":false,"servers":[{"id":"s-1","addr":"127.0.0.1:1","state":"draining"}]}`
				}
				return `{"version":8,"full":false,"servers":[]}`
			})
			d := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", "127.0.0.1:1"))
			l := startLoop(t, d, func(c *config.Config) {
				c.Discovery = addr
				c.Settings.DiscoveryMode = mode
				c.Settings.FleetSize = 300
				c.Settings.Contract.PollWithinMs = 10000
			})
			agenttest.NextCall(t, calls)
			agenttest.NextCall(t, calls)
			from := time.Now()
			agenttest.WaitUntil(t, "the change is known", func() bool {
				return inLoop(l, func() bool { return !l.endpoints.byID["s-1"].IsAvailable() })
			})
			if took := time.Since(from); took > agenttest.NotifiedWithin {
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
		"empty":           " ",
		"null":            "null",
		"no fields":       "{}",
		"no object":       "[" + entry + "]",
		"cut off":         `{"version":60,"full":false,"servers":[` + entry,
		"two lists":       `{"version":60,"full":false,"servers":[` + entry + `]}{}`,
		"no version":      `{"full":false,"servers":[` + entry + `]}`,
		"whole of none":   `{"version":60,"full":true}`,
		"whole of null":   `{"version":60,"full":true,"servers":null}`,
		"wrong type":      `{"version":60,"full":false,"servers":[{"id":7}]}`,
		"negative":        `{"version":-60,"full":false,"servers":[` + entry + `]}`,
		"past":            `{"version":40,"full":false,"servers":[` + entry + `]}`,
		"whole from past": `{"version":40,"full":true,"servers":[]}`,
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
			d := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", "127.0.0.1:1"))
			d.List.Version = 50
			l := startLoop(t, d, func(c *config.Config) { c.Discovery, c.Settings.DiscoveryMode = addr, "pushed" })
			close(release)
			agenttest.WaitLine(t, l.log, "discovery call failed")
			agenttest.NextCall(t, calls)
			if c, past := agenttest.NextCall(t, calls), strings.Contains(name, "past"); c.Index != map[bool]string{true: "0", false: "50"}[past] {
				t.Errorf("asked again from %s", c.Index)
			}
			if !inLoop(l, func() bool {
				b := l.endpoints.byID["s-1"]
				return b != nil && b.IsAvailable() && l.list.version == 50
			}) {
				t.Error("the list has changed")
			}
		})
	}
}

// A discovery that starts again counts its versions from the beginning. Asked for all it has,
// it is believed, and followed from there.
func TestRestartedDiscoveryIsWatched(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var asked []string
	addr, _ := agenttest.ScriptedDiscovery(t, func(n int, c agenttest.WatchCall) string {
		mu.Lock()
		asked = append(asked, c.Index)
		mu.Unlock()
		switch n {
		case 0:
			return `{"version":2,"full":false,"servers":[]}`
		case 1:
			return "{\n  \"version\": 2,\n  \"full\": true,\n  \"servers\": [\n    {\n      \"id\": \"s-2\",\n      \"addr\": \"127.0.0.1:2\",\n      \"state\": \"up\"\n    }\n  ]\n}\n"
		case 2:
			return `{"version":3,"full":false,"servers":[{"id":"s-3","addr":"127.0.0.1:3","state":"up"}]}`
		}
		return ""
	})
	d := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", "127.0.0.1:1"))
	d.List.Version = 50
	l := startLoop(t, d, func(c *config.Config) { c.Discovery, c.Settings.DiscoveryMode = addr, "pushed" })
	agenttest.WaitUntil(t, "the list of the discovery that started again is followed", func() bool {
		return inLoop(l, func() bool {
			ids := l.endpoints.byID
			return len(ids) == 2 && ids["s-2"] != nil && ids["s-3"] != nil && l.list.version == 3
		})
	})
	mu.Lock()
	defer mu.Unlock()
	if !slices.Equal(asked[:3], []string{"50", "0", "2"}) {
		t.Errorf("asked from %v", asked)
	}
}
