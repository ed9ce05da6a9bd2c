package discovery

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/clock"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// The agents start spread over the addresses, and when an address fails its agents move on to different ones.
func TestAgentsAreSpreadOverAddresses(t *testing.T) {
	addrs := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
	pairs := map[[2]string]int{}
	for i := range 600 {
		name := fmt.Sprint("pay-", i)
		order := orderAddresses(addrs, name)
		again := orderAddresses([]string{addrs[2], addrs[0], addrs[1]}, name)
		if !slices.Equal(order, again) {
			t.Fatalf("%s calls in the order %v, but %v if the addresses are listed differently", name, order, again)
		}
		pairs[[2]string{order[0], order[1]}]++
	}
	for pair, count := range pairs {
		if count < 60 || count > 140 {
			t.Errorf("%d of 600 agents call in the order %v, want about 100", count, pair)
		}
	}
	if len(pairs) != 6 {
		t.Errorf("%d of 6 orders are used", len(pairs))
	}
}

// The waits before a failover and after a round are drawn uniformly between zero and their bound, and the bound of the
// wait after a round doubles.
func TestWaitsHaveFullJitter(t *testing.T) {
	const draws, waits, addresses = 300, 15, 3
	longest, shortest := map[int]time.Duration{}, map[int]time.Duration{}
	for range draws {
		backoff := newFailoverBackoff()
		for i := range waits {
			wait := backoff.nextDelay(addresses)
			longest[i] = max(longest[i], wait)
			if shortest[i] == 0 || wait < shortest[i] {
				shortest[i] = wait
			}
		}
	}
	for i := range waits {
		bound := maxFailoverDelay
		if i%addresses == addresses-1 {
			bound = min(minRoundBackoff<<(i/addresses), maxRoundBackoff)
		}
		if longest[i] > bound || longest[i] < bound*3/4 || shortest[i] > bound/4 {
			t.Errorf("wait %d is %v to %v in %d draws, want 0 to %v", i, shortest[i], longest[i], draws, bound)
		}
	}
}

// A watch moves to the next address when a call fails, keeps its version, and stays at an address that responds.
func TestWatchMovesOnFailureAndStays(t *testing.T) {
	t.Parallel()
	instances := map[string]*agenttest.SettingsDiscovery{}
	var addrs []string
	for range 3 {
		instance := agenttest.NewSettingsDiscovery(t, 41)
		instances[instance.Addr()] = instance
		addrs = append(addrs, instance.Addr())
	}
	client := newControlClient(addrs)
	order := orderAddresses(addrs, "pay-1")
	first, second, third := instances[order[0]], instances[order[1]], instances[order[2]]
	keepWatch(t, client)
	first.WaitCallWith(t, "index", "7")
	first.WaitCallWith(t, "index", "41")
	first.Change(func() { first.Down = true })
	second.WaitCallWith(t, "index", "41")
	first.Change(func() { first.Down = false })
	first.DiscardCalls()
	for range 3 {
		if query := second.WaitCallWith(t, "index", "41"); len(query) != 2 {
			t.Errorf("the call has the query parameters %v, want an index and a wait", query)
		}
	}
	if count := len(first.Calls) + len(third.Calls); count != 0 {
		t.Errorf("%d calls to the other addresses, want none while the second one responds", count)
	}
	if err := second.Listener.Close(); err != nil {
		t.Fatal(err)
	}
	second.CloseClientConnections()
	third.WaitCallWith(t, "index", "41")
}

// A call whose connection is lost is not retried before the wait after a failure: otherwise all agents of an instance
// that fails would call again at the same time.
func TestLostCallIsNotRetriedAtOnce(t *testing.T) {
	t.Parallel()
	ln := agenttest.Listen(t)
	var conns atomic.Int64
	go agenttest.AcceptAll(ln, func(conn net.Conn) {
		conns.Add(1)
		answerOneCall(conn)
	})
	connsAtFailure := make(chan int64, responseBuffer)
	cfg := &config.Config{
		Name:        "pay-1",
		Discovery:   ln.Addr().String(),
		Control:     &config.Control{Service: "pay"},
		InitialList: endpoint.List{Version: 1},
	}
	countConns := func(response Response) {
		if response.Err != nil {
			connsAtFailure <- conns.Load()
		}
	}
	client := New(cfg, Options{Clock: clock.System(), OnResponse: countConns})
	keepWatch(t, client)
	for failure := int64(1); failure <= 3; failure++ {
		if count := <-connsAtFailure; count != failure {
			t.Errorf("%d connections were opened before failure %d, want one per failure", count, failure)
		}
	}
}

// answerOneCall answers the first call on a connection, and returns when it has read the second one.
func answerOneCall(conn net.Conn) {
	reader := bufio.NewReader(conn)
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	const body = `{"version":5,"full":false,"servers":[]}`
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	_, _ = http.ReadRequest(reader)
}

// An instance with a version older than the one reached is skipped. The full list is requested only once all instances
// have returned an older version.
func TestOlderVersionIsAcceptedOnlyFromAllAddresses(t *testing.T) {
	t.Parallel()
	var addrs []string
	var mu sync.Mutex
	var indexes []string
	for range 3 {
		addr, _ := agenttest.StartScriptedDiscovery(t, func(_ int, call agenttest.WatchCall) string {
			mu.Lock()
			defer mu.Unlock()
			indexes = append(indexes, call.Index)
			if len(indexes) > 4 {
				return ""
			}
			return `{"version":2,"full":true,"servers":[]}`
		})
		addrs = append(addrs, addr)
	}
	keepWatch(t, newControlClient(addrs))
	agenttest.WaitUntil(t, "five calls", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(indexes) >= 5
	})
	mu.Lock()
	defer mu.Unlock()
	if want := []string{"7", "7", "7", "", "2"}; !slices.Equal(indexes[:5], want) {
		t.Errorf("calls have the indexes %q, want %q", indexes, want)
	}
}

// Without the section "control" the client has one address, no failover backoff, and no settings to request.
func TestClientWithoutControlSection(t *testing.T) {
	client := newTestClient("127.0.0.1:1", 1, func(Response) {})
	if client.backoff != nil || client.settingsWatch != nil || len(client.CurrentSource().addrs) != 1 {
		t.Error("the client has a failover backoff, a settings watch or several addresses without the section")
	}
}

// After a move to several addresses the client has all of them.
func TestMoveToSeveralAddresses(t *testing.T) {
	client := newTestClient("127.0.0.1:1", 1, func(Response) {})
	client.MoveTo("127.0.0.1:2", "127.0.0.1:3")
	if addrs := client.CurrentSource().addrs; len(addrs) != 2 {
		t.Errorf("the addresses are %v, want 2", addrs)
	}
}
