package scaletest

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/processtest"
)

// TestHollowFleetConverges checks that thirty agents in one process converge on one membership snapshot and put a
// change of the endpoint list in force, and that each calls discovery from its own address.
func TestHollowFleetConverges(t *testing.T) {
	const n = 30
	discovery := newDiscoveryServer(t)
	configs := newConfigurations(t, discovery.addr, n)
	host := startHostClient(t)
	for i := range n {
		host.command(commandStart, fmt.Sprintf("a%d", i), configs.config(i))
	}
	host.awaitInForce(n, kindList, 1)
	host.awaitInForce(n, kindList, discovery.addServer())
	r := host.awaitReport("one snapshot", func(r *HostReport) bool { return agree(r, n) })
	for name, a := range r.Agents {
		checkTraffic(t, name, a)
	}
	if r.CPUSeconds <= 0 || r.ResidentMB <= 0 || r.HeapMB <= 0 || r.AllocBytes == 0 ||
		r.Descriptors < n || r.Goroutines < n {
		t.Errorf("%+v", r)
	}
	discovery.mu.Lock()
	for i := range n {
		if !discovery.callers[configs.ip(i)] {
			t.Errorf("no call came from %s", configs.ip(i))
		}
	}
	discovery.mu.Unlock()
	for i := range n {
		fewerAttempts := configs.config(i)
		fewerAttempts.Settings.MaxAttempts = 2
		host.command(commandReload, fmt.Sprintf("a%d", i), fewerAttempts)
	}
	host.awaitInForce(n, kindSettings, 0)
	t.Logf("%d agents: %.1f MB live, %.1f MB resident, %d goroutines, %d descriptors",
		n, r.HeapMB, r.ResidentMB, r.Goroutines, r.Descriptors)
}

// agree reports whether a report has the given number of agents with the same settled membership snapshot and version 2
// of the endpoint list.
func agree(r *HostReport, agents int) bool {
	digests := map[string]bool{}
	for _, a := range r.Agents {
		digests[a.Digest] = true
		if a.Members != agents || !a.Settled || a.ListVersion != 2 || a.Servers != 2 {
			return false
		}
	}
	return len(r.Agents) == agents && len(digests) == 1
}

// checkTraffic checks that an agent has counted its membership traffic and its calls to discovery.
func checkTraffic(t *testing.T, name string, a AgentReport) {
	t.Helper()
	noBytes := a.MembershipIn == 0 || a.MembershipOut == 0
	noMessages := a.MembershipMessagesIn == 0 || a.MembershipMessagesOut == 0
	if noBytes || noMessages || a.ListIn == 0 || a.ListOut == 0 || a.ListCalls < 2 {
		t.Errorf("%s counted %+v", name, a)
	}
}

// TestKillAndStopInMembership checks that the other agents see a killed agent as dead, as after SIGKILL, and a stopped
// agent as left, as after SIGTERM.
func TestKillAndStopInMembership(t *testing.T) {
	discovery := newDiscoveryServer(t)
	configs := newConfigurations(t, discovery.addr, 4)
	host := startHostClient(t)
	for i := range 4 {
		host.command(commandStart, fmt.Sprintf("a%d", i), configs.config(i))
	}
	host.awaitReport("four members", func(r *HostReport) bool {
		for _, a := range r.Agents {
			if a.Members != 4 || !a.Settled {
				return false
			}
		}
		return len(r.Agents) == 4
	})
	host.command(commandKill, "a2", nil)
	host.command(commandStop, "a3", nil)
	for _, name := range []string{"a2", "a3"} {
		if event := host.ended(name); event.Err != "" {
			t.Errorf("%s ended: %s", name, event.Err)
		}
	}
	want := map[string]membership.State{
		"a0": membership.Alive,
		"a1": membership.Alive,
		"a2": membership.Dead,
		"a3": membership.Left,
	}
	var seen *membership.Status
	err := processtest.Await(waitTimeout, "a0 sees all in their states", func() bool {
		var err error
		if seen, err = membership.FetchStatus(t.Context(), configs.adminAddress(0), "since=0"); err != nil {
			t.Fatal(err)
		}
		for name, state := range want {
			if m, ok := seen.Snapshot.Member(name); !ok || m.State != state {
				return false
			}
		}
		return true
	})
	if err != nil {
		t.Fatalf("%v: members %+v", err, seen.Members)
	}
	for _, c := range seen.Changes {
		if c.Name == "a2" && c.To == membership.Left {
			t.Error("the killed agent left gracefully")
		}
	}
}

// resources counts what a process has open.
type resources struct{ goroutines, descriptors int }

// processResources returns the resources of this process.
func processResources(t *testing.T) resources {
	t.Helper()
	descriptors, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return resources{goroutines: runtime.NumGoroutine(), descriptors: len(descriptors)}
}

// isWithin reports whether r has no more than other of either kind of resource.
func (r resources) isWithin(other resources) bool {
	return r.goroutines <= other.goroutines && r.descriptors <= other.descriptors
}

// max returns the larger number of each kind of resource.
func (r resources) max(other resources) resources {
	return resources{max(r.goroutines, other.goroutines), max(r.descriptors, other.descriptors)}
}

const (
	// maxStackBytes is the maximum number of bytes of the goroutines' stacks that are printed.
	maxStackBytes = 1 << 20
	// No event says that a started agent has opened all its resources. The resources count as stable once none of
	// stableSamples consecutive samples, one every sampleInterval, exceeds the maximum of the samples before them.
	stableSamples  = 10
	sampleInterval = 100 * time.Millisecond
)

// awaitStableResources waits until this process opens no more resources, and returns the maximum that it had open.
func awaitStableResources(t *testing.T) resources {
	t.Helper()
	most := processResources(t)
	for same := 0; same < stableSamples; time.Sleep(sampleInterval) {
		if now := processResources(t); !now.isWithin(most) {
			most, same = most.max(now), 0
		}
		same++
	}
	return most
}

// TestEndedAgentsReleaseResources checks that an agent that has ended leaves no goroutine and no descriptor open,
// whether it was ended while it ran, just after its start or during its shutdown.
func TestEndedAgentsReleaseResources(t *testing.T) {
	discovery := newDiscoveryServer(t)
	configs := newConfigurations(t, discovery.addr, 8)
	host := startHostClient(t)
	// The first agent opens resources that the whole process shares; they are part of the level before.
	host.command(commandStart, "a0", configs.config(0))
	host.await(0, "list in force", func(event *HostEvent) bool { return event.InForce != nil })
	before := awaitStableResources(t)
	for round := range 20 {
		since := host.count()
		name := fmt.Sprintf("b%d", round)
		host.command(commandStart, name, configs.config(1))
		if round%4 > 0 {
			host.await(since, "list in force", func(event *HostEvent) bool {
				return event.InForce != nil && event.InForce.Agent == name
			})
		}
		switch round % 4 {
		case 1:
			host.command(commandStop, name, nil)
		case 2:
			host.command(commandStop, name, nil)
			fallthrough
		default:
			host.command(commandKill, name, nil)
		}
		if event := host.ended(name); event.Err != "" {
			t.Fatalf("%s ended: %s", name, event.Err)
		}
	}
	var after resources
	err := processtest.Await(waitTimeout, "the resources are released", func() bool {
		after = processResources(t)
		return after.isWithin(before)
	})
	if err != nil {
		stacks := make([]byte, maxStackBytes)
		t.Fatalf("%v: %+v, before %+v\n%s", err, after, before, stacks[:runtime.Stack(stacks, true)])
	}
}

// TestInvalidCommands checks that an invalid command is reported once and has no effect, and that the host continues.
func TestInvalidCommands(t *testing.T) {
	discovery := newDiscoveryServer(t)
	configs := newConfigurations(t, discovery.addr, 2)
	host := startHostClient(t)
	host.command(commandStart, "a0", configs.config(0))
	host.await(0, "list in force", func(event *HostEvent) bool { return event.InForce != nil })
	bad := configs.config(1)
	bad.Seed = "none"
	bare := configs.config(0)
	bare.Management = ""
	config := func(c processtest.AgentFile) string { return string(marshal(t, c)) }
	for command, want := range map[string]string{
		`{"do":`:                       "command: unexpected EOF",
		`{"do":"dance","agent":"a0"}`:  `command: do: unknown command "dance"`,
		`{"do":"stop","agnt":"a0"}`:    `unknown field "agnt"`,
		`{"do":"stop"}`:                "stop : agent name is missing",
		`{"do":"stop","agent":"a1"}`:   "stop a1: agent is not running",
		`{"do":"kill","agent":"a1"}`:   "kill a1: agent is not running",
		`{"do":"reload","agent":"a1"}`: "reload a1: agent is not running",
		`{"do":"start","agent":"a1","config":` + config(bad) + `}`:               "start a1: config: seed",
		`{"do":"start","agent":"a1","config":{"name":3}}`:                        "start a1: config: json",
		`{"do":"start","agent":"a0","config":` + config(configs.config(0)) + `}`: "start a0: agent is already running",
		`{"do":"reload","agent":"a0","config":` + config(bare) + `}`:             "reload a0: config: management: missing",
	} {
		since := host.count()
		host.writeLine(command)
		event, n := host.await(since, "the error of "+command, func(event *HostEvent) bool { return event.Err != "" })
		if !strings.Contains(event.Err, want) || event.Ended != "" || strings.Contains(event.Err, "\n") {
			t.Errorf("%s: event %+v, want %q", command, event, want)
		}
		if r := host.report(); len(r.Agents) != 1 {
			t.Errorf("after %s: agents %v", command, r.Agents)
		}
		host.mu.Lock()
		for _, event := range host.events[n:] {
			if event.Err != "" {
				t.Errorf("%s: reported twice: %s", command, event.Err)
			}
		}
		host.mu.Unlock()
	}
	// An address in use does not make the command invalid: the agent ends.
	taken := configs.config(1)
	taken.Management = configs.adminAddress(0)
	host.command(commandStart, "a1", taken)
	if event := host.ended("a1"); !strings.Contains(event.Err, "address already in use") {
		t.Errorf("event %+v", event)
	}
}
