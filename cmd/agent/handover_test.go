package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/handover"
	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/endpoint"
)

const (
	// handoverServers is the number of servers of an agent that is upgraded.
	handoverServers = 3
	// requestsToSpread is a number of requests of which each available server gets some, as their keys differ.
	requestsToSpread = 90
	// timeBeforeKill is the least time for which the platform lets two processes run side by side before it kills one.
	timeBeforeKill = 700 * time.Millisecond
)

// countingServer is a server that counts its requests.
type countingServer struct {
	endpoint.Endpoint
	requests atomic.Int64
}

// upgradedAgent is an agent whose processes follow one another, with its discovery service and its servers.
type upgradedAgent struct {
	listener  sharedListener
	discovery *agenttest.Discovery
	servers   []*countingServer
	config    agentConfig
	sent      int
}

// newUpgradedAgent prepares an agent whose configuration lists all servers as up.
func newUpgradedAgent(t *testing.T) *upgradedAgent {
	t.Helper()
	a := &upgradedAgent{listener: newSharedListener(t)}
	var listed []endpoint.Endpoint
	for i := range handoverServers {
		server := new(countingServer)
		addr := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			server.requests.Add(1)
			writeBody(w, "done")
		})
		server.Endpoint = listedServer(fmt.Sprint("s-", i+1), addr)
		listed = append(listed, server.Endpoint)
		a.servers = append(a.servers, server)
	}
	a.discovery = agenttest.NewDiscovery(t, listed...)
	a.config = newConfig(a.discovery.Listener.Addr().String(), slices.Clone(listed)...)
	a.config.Listen = a.listener.addr
	a.config.Management = anyAddress
	a.config.Settings.DiscoveryMode = balancer.DiscoveryPushed
	return a
}

// startProcess starts a process and waits until it is ready.
func (a *upgradedAgent) startProcess(t *testing.T) *program {
	t.Helper()
	return a.listener.startProgram(t, a.config)
}

// upgrade starts a process, and then ends the one before it with the given signal.
func (a *upgradedAgent) upgrade(t *testing.T, before *program, signal syscall.Signal) *program {
	t.Helper()
	after := a.startProcess(t)
	a.endProcess(t, before, signal)
	return after
}

// endProcess ends a process beside which another one runs. A kill comes no sooner than the platform may send it.
func (a *upgradedAgent) endProcess(t *testing.T, p *program, signal syscall.Signal) {
	t.Helper()
	if signal == syscall.SIGKILL {
		time.Sleep(timeBeforeKill)
	}
	p.signal(t, signal)
	p.awaitEnd(t)
}

// drain lists a server as draining and returns once the agent knows it.
func (a *upgradedAgent) drain(t *testing.T, server *countingServer) {
	t.Helper()
	entry := server.Endpoint
	entry.State = endpoint.StateDraining
	a.discovery.WaitNotified(t, entry)
}

// remove removes a server from the list and returns once the agent knows it.
func (a *upgradedAgent) remove(t *testing.T, server *countingServer) {
	t.Helper()
	a.discovery.Remove(server.ID)
	a.discovery.WaitNotified(t, a.servers[0].Endpoint)
}

// spread sends requests with different keys and returns how many of them each server got.
func (a *upgradedAgent) spread(t *testing.T) []int64 {
	t.Helper()
	var before []int64
	for _, server := range a.servers {
		before = append(before, server.requests.Load())
	}
	client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for range requestsToSpread {
		a.sent++
		next := order{path: fmt.Sprint("/api/key-", a.sent), timeout: trafficTimeout}
		request, err := next.request(t.Context(), a.listener.addr)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := do(client, request); err != nil || got.status != http.StatusOK {
			t.Errorf("request %d: status %d, error %v", a.sent, got.status, err)
		}
	}
	var got []int64
	for i, server := range a.servers {
		got = append(got, server.requests.Load()-before[i])
	}
	return got
}

// wantOnly checks that of the requests that are sent now each of the given servers gets some and the others none.
func (a *upgradedAgent) wantOnly(t *testing.T, available ...*countingServer) {
	t.Helper()
	for i, requests := range a.spread(t) {
		want := slices.Contains(available, a.servers[i])
		if (requests > 0) != want {
			t.Errorf("%s got %d of %d requests, want some: %v", a.servers[i].ID, requests, requestsToSpread, want)
		}
	}
}

// handoverPath returns the path of the file with the saved state.
func (a *upgradedAgent) handoverPath() string {
	return filepath.Join(a.listener.tempDir, handoverFileName)
}

// An upgrade during an outage of discovery must not send requests to a server that the process before knew to drain or
// to be removed, though the configuration lists it as up.
func TestUpgradeDuringOutageKeepsDrains(t *testing.T) {
	for name, leave := range map[string]func(*upgradedAgent, *testing.T, *countingServer){
		"draining": (*upgradedAgent).drain,
		"removed":  (*upgradedAgent).remove,
	} {
		for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
			t.Run(fmt.Sprint(name, "/", signal), func(t *testing.T) {
				t.Parallel()
				agent := newUpgradedAgent(t)
				process := agent.startProcess(t)
				leave(agent, t, agent.servers[2])
				agent.wantOnly(t, agent.servers[:2]...)
				agent.discovery.SetSilent(true)
				for range 2 { // a second upgrade in the same outage has the list from the first
					process = agent.upgrade(t, process, signal)
					agent.wantOnly(t, agent.servers[:2]...)
				}
				process.signal(t, syscall.SIGTERM)
				process.expectCleanEnd(t)
			})
		}
	}
}

// What changed during the outage counts once discovery answers: a handed-over list doesn't hide it.
func TestDiscoveryReplacesTheHandedOverList(t *testing.T) {
	t.Parallel()
	agent := newUpgradedAgent(t)
	first, second, third := agent.servers[0], agent.servers[1], agent.servers[2]
	process := agent.startProcess(t)
	agent.remove(t, second)
	agent.drain(t, third)
	agent.discovery.SetSilent(true)
	process = agent.upgrade(t, process, syscall.SIGTERM)
	agent.wantOnly(t, first)
	draining := first.Endpoint
	draining.State = endpoint.StateDraining
	agent.discovery.Set(draining)
	agent.discovery.Set(second.Endpoint)
	agent.discovery.Set(third.Endpoint)
	agent.discovery.SetSilent(false)
	agent.discovery.WaitNotified(t, third.Endpoint)
	agent.wantOnly(t, second, third)
	process.signal(t, syscall.SIGTERM)
	process.expectCleanEnd(t)
}

// A process that starts within a second of a change, before the change is saved, still gets it from the process that
// runs.
func TestChangeJustBeforeAnUpgradeIsHandedOver(t *testing.T) {
	t.Parallel()
	agent := newUpgradedAgent(t)
	process := agent.startProcess(t)
	agent.drain(t, agent.servers[1]) // saved at once; the next save is a second later
	agent.drain(t, agent.servers[2])
	agent.discovery.SetSilent(true)
	process = agent.upgrade(t, process, syscall.SIGTERM)
	agent.wantOnly(t, agent.servers[0])
	process.signal(t, syscall.SIGTERM)
	process.expectCleanEnd(t)
}

// A state that can't be used is logged with one line and ignored: the start goes on with the list of the configuration.
func TestUnusableHandoverIsIgnored(t *testing.T) {
	unusable := regexp.MustCompile(`msg="handed-over (state|endpoint list) not used" err=.*`)
	for name, spoil := range map[string]func(*testing.T, *upgradedAgent){
		"truncated":    rewriteState(func(text string) string { return text[:len(text)/2] }),
		"empty":        rewriteState(func(string) string { return "" }),
		"foreign":      rewriteState(strings.NewReplacer(`"n1"`, `"n2"`).Replace),
		"other format": rewriteState(strings.NewReplacer("handover 1", "handover 9").Replace),
		"nonsense":     rewriteState(func(string) string { return "nonsense\x00\xff" }),
		"old":          saveOldList,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			agent := newUpgradedAgent(t)
			process := agent.startProcess(t)
			agent.drain(t, agent.servers[2])
			agent.discovery.SetSilent(true)
			process.signal(t, syscall.SIGTERM)
			process.expectCleanEnd(t)
			spoil(t, agent)
			process = agent.startProcess(t)
			agent.wantOnly(t, agent.servers...)
			process.signal(t, syscall.SIGTERM)
			end := process.awaitEnd(t)
			if lines := unusable.FindAllString(end.log, -1); end.err != nil || len(lines) != 1 {
				t.Errorf("the program ended with %v and logged %q, want one line", end.err, lines)
			}
		})
	}
}

// rewriteState returns a function that changes the text of an agent's saved state.
func rewriteState(change func(string) string) func(*testing.T, *upgradedAgent) {
	return func(t *testing.T, a *upgradedAgent) {
		t.Helper()
		text, err := os.ReadFile(a.handoverPath())
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(a.handoverPath(), []byte(change(string(text))), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// saveOldList makes the saved list one that discovery has confirmed too long ago for a process that has ended.
func saveOldList(t *testing.T, a *upgradedAgent) {
	t.Helper()
	identity := handover.Identity{Name: a.config.Name, Listen: a.config.Listen}
	file := handover.NewFile(a.handoverPath(), identity, a.config.Limits.MemoryMB*bytesPerMB)
	state, err := file.Load()
	if err != nil || state == nil || state.List == nil {
		t.Fatalf("the saved state is %+v, with error %v", state, err)
	}
	state.List.ConfirmedMs -= (handover.MaxListAge + time.Minute).Milliseconds()
	if err := file.Save(*state); err != nil {
		t.Fatal(err)
	}
}

// A process that starts after the one before it has ended, by itself or by a kill, has its list too.
func TestStartAfterTheProcessBeforeHasEnded(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(signal.String(), func(t *testing.T) {
			t.Parallel()
			agent := newUpgradedAgent(t)
			process := agent.startProcess(t)
			agent.drain(t, agent.servers[2])
			agent.discovery.SetSilent(true)
			agent.endProcess(t, process, signal)
			process = agent.startProcess(t)
			agent.wantOnly(t, agent.servers[:2]...)
			process.signal(t, syscall.SIGTERM)
			process.expectCleanEnd(t)
		})
	}
}

// A directory in which nothing can be written costs one line in the log, and no request.
func TestUnwritableHandoverIsIgnored(t *testing.T) {
	t.Parallel()
	agent := newUpgradedAgent(t)
	if err := os.MkdirAll(filepath.Join(agent.handoverPath()+".new", "x"), 0o700); err != nil {
		t.Fatal(err)
	}
	process := agent.startProcess(t)
	agent.drain(t, agent.servers[2])
	agent.wantOnly(t, agent.servers[:2]...)
	process.signal(t, syscall.SIGTERM)
	end := process.awaitEnd(t)
	if lines := strings.Count(end.log, "state not saved for the next process"); end.err != nil || lines != 1 {
		t.Errorf("the program ended with %v and logged %d lines, want one", end.err, lines)
	}
}
