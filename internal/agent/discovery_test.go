package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// notifiedWithin is the time within which the agent has to know a change of a discovery that can be reached.
const notifiedWithin = 6 * time.Second

// watchCall is a call that a scripted discovery got: its index, and on which connection.
type watchCall struct {
	index string
	conn  int64
}

// scriptedDiscovery answers the n-th call (from 0) as the script says; what it returns is the
// body, and "" is no answer until the caller gives up.
func scriptedDiscovery(t *testing.T, script func(n int, c watchCall) string) (addr string, calls <-chan watchCall) {
	var count, conns atomic.Int64
	got := make(chan watchCall, 1000)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		c := watchCall{req.URL.Query().Get("index"), req.Context().Value(connKey{}).(int64)}
		n := count.Add(1) - 1
		got <- c
		text := script(int(n), c)
		if text == "" {
			<-req.Context().Done()
			return
		}
		fmt.Fprint(w, text)
	}))
	s.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conns.Add(1))
	}
	s.Start()
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String(), got
}

func nextCall(t *testing.T, calls <-chan watchCall) watchCall {
	t.Helper()
	select {
	case c := <-calls:
		return c
	case <-time.After(testTimeout):
		t.Fatal("no call")
		return watchCall{}
	}
}

// A watch that has fallen silent is opened anew, on a connection of its own: one that idles
// beside it may have fallen silent with it.
func TestSilentWatchIsReopened(t *testing.T) {
	t.Parallel()
	addr, calls := scriptedDiscovery(t, func(_ int, c watchCall) string {
		if c.index == "" {
			return `{"version":7,"full":true,"servers":[]}`
		}
		return "" // all that is open now stays silent
	})
	d := newTestDiscoveryClient(addr, 7, func(listResponse) {})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go d.keepWatch(ctx)
	first := nextCall(t, calls)
	silent := time.Now()
	d.fetch(ctx) // on another connection, which idles from now on
	second := nextCall(t, calls)
	if first.conn == second.conn {
		t.Fatal("the fetch came on the watch's connection")
	}
	third := nextCall(t, calls)
	if third.index != "7" || third.conn == first.conn || third.conn == second.conn {
		t.Errorf("after the silence: call %+v, want index 7 on a new connection", third)
	}
	if took := time.Since(silent); took > notifiedWithin {
		t.Errorf("the watch was opened anew after %v", took)
	}
}

// What discovery has and can tell is known within 6 s, also where a call stood when it fell
// silent, and where three hundred agents have to share it out.
func TestChangesArriveInTimeAfterASilence(t *testing.T) {
	for _, mode := range []balancer.DiscoveryMode{balancer.DiscoveryPushed, balancer.DiscoveryOnRequest} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			var silent atomic.Bool
			addr, calls := scriptedDiscovery(t, func(n int, c watchCall) string {
				switch {
				case !silent.Load() && n > 0: // the second watch call stands when it falls silent
					silent.Store(true)
					return ""
				case silent.Load():
					return `{"version":9,"full":false,"servers":[{"id":"s-1","addr":"127.0.0.1:1","state":"draining"}]}`
				}
				return `{"version":8,"full":false,"servers":[]}`
			})
			d := newDiscoveryServer(t, target("s-1", "127.0.0.1:1"))
			a := startAgent(t, d, func(c *Config) {
				c.Discovery = addr
				c.Settings.DiscoveryMode = mode
				c.Settings.FleetSize = 300
				c.Settings.Contract.PollWithinMs = 10000
			})
			nextCall(t, calls)
			nextCall(t, calls)
			from := time.Now()
			waitUntil(t, "the change is known", func() bool {
				return inLoop(a, func(l *eventLoop) bool { return !l.endpoints.byID["s-1"].isAvailable() })
			})
			if took := time.Since(from); took > notifiedWithin {
				t.Errorf("the change was known after %v", took)
			}
		})
	}
}

// After a move the new address is polled for the full list, however often its first calls fail, and never from
// a version of the old one.
func TestMovedDiscoveryIsPolledForTheFullList(t *testing.T) {
	t.Parallel()
	old, oldCalls := scriptedDiscovery(t, func(int, watchCall) string { return "" })
	moved, calls := scriptedDiscovery(t, func(n int, _ watchCall) string {
		if n < 2 {
			return "no list"
		}
		return `{"version":3,"full":true,"servers":[]}`
	})
	told := make(chan listResponse, 100)
	d := newTestDiscoveryClient(old, 41, func(n listResponse) { told <- n })
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go d.keepWatch(ctx)
	if c := nextCall(t, oldCalls); c.index != "41" {
		t.Errorf("the known version was not asked from: %+v", c)
	}
	d.moveTo(moved)
	for i, want := range []string{"0", "0", "0", "3"} {
		if c := nextCall(t, calls); c.index != want {
			t.Errorf("call %d asks from %s, want %s", i, c.index, want)
		}
	}
	for n := range told {
		if n.err == nil {
			if !n.complete || n.list.Version != 3 {
				t.Errorf("told %+v", n)
			}
			break
		}
	}
}

// The list follows the address that is in force: what the old one still brings counts until
// the new one has answered, and the new one's versions are of its own count.
func TestResponsesThatCrossAMove(t *testing.T) {
	up, drains := target("s-1", "127.0.0.1:1"), target("s-1", "127.0.0.1:1")
	drains.State = "draining"
	l := startAgent(t, newDiscoveryServer(t, up, target("s-2", "127.0.0.1:2")), nil).agent.loop
	done := make(chan bool)
	l.post(func() {
		defer close(done)
		old := l.discovery.currentSource()
		l.onListResponse(listResponse{source: old, watch: true, list: &List{Version: 50}})
		l.discovery.moveTo("127.0.0.1:9")
		l.onListResponse(listResponse{source: old, watch: true, list: &List{Version: 51, Servers: []Target{drains}}})
		if l.endpoints.byID["s-1"].isAvailable() {
			t.Error("what the old address told before the new one answered was dropped")
		}
		l.onListResponse(listResponse{source: l.discovery.currentSource(), list: &List{Version: 3, Full: true, Servers: []Target{up}}})
		if !l.endpoints.byID["s-1"].isAvailable() || l.list.version != 3 {
			t.Errorf("the new address's list was not taken over (version %d)", l.list.version)
		}
		l.onListResponse(listResponse{source: old, watch: true, list: &List{Version: 52, Servers: []Target{drains}}})
		if !l.endpoints.byID["s-1"].isAvailable() || l.list.version != 3 {
			t.Error("the old address turned the list back")
		}
	})
	<-done
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
			addr, calls := scriptedDiscovery(t, func(n int, _ watchCall) string {
				if n == 0 {
					<-release
					return text
				}
				return ""
			})
			d := newDiscoveryServer(t, target("s-1", "127.0.0.1:1"))
			d.list.Version = 50
			a := startAgent(t, d, func(c *Config) { c.Discovery, c.Settings.DiscoveryMode = addr, "pushed" })
			lines := a.logLines(t)
			close(release)
			waitLine(t, lines, "discovery call failed")
			nextCall(t, calls)
			if c, past := nextCall(t, calls), strings.Contains(name, "past"); c.index != map[bool]string{true: "0", false: "50"}[past] {
				t.Errorf("asked again from %s", c.index)
			}
			if !inLoop(a, func(l *eventLoop) bool {
				b := l.endpoints.byID["s-1"]
				return b != nil && b.isAvailable() && l.list.version == 50
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
	addr, _ := scriptedDiscovery(t, func(n int, c watchCall) string {
		mu.Lock()
		asked = append(asked, c.index)
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
	d := newDiscoveryServer(t, target("s-1", "127.0.0.1:1"))
	d.list.Version = 50
	a := startAgent(t, d, func(c *Config) { c.Discovery, c.Settings.DiscoveryMode = addr, "pushed" })
	waitUntil(t, "the list of the discovery that started again is followed", func() bool {
		return inLoop(a, func(l *eventLoop) bool {
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

// A discovery whose calls fail in other ways than by silence is asked again as well.
func TestFailedCallsAreRetriedInTime(t *testing.T) {
	t.Parallel()
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing.Close()
	told := make(chan listResponse, 100)
	d := newTestDiscoveryClient(refusing.Addr().String(), 1, func(n listResponse) { told <- n })
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go d.keepWatch(ctx)
	last := time.Now()
	for range 6 { // the wait has doubled to its bound by then
		n := <-told
		if n.err == nil || errors.Is(n.err, errDiscoveryMoved) {
			t.Fatalf("told %+v", n)
		}
		if wait := time.Since(last); wait > notifiedWithin-watchWait-callGrace {
			t.Errorf("a refused call was repeated after %v", wait)
		}
		last = time.Now()
	}
}
