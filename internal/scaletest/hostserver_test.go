package scaletest

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/capacity"
	"fernbeam.example/fernbeam/internal/membership"
)

// TestHollowFleetConverges: thirty agents in one process see each other and put a change of the list in
// force, each from an address of its own.
func TestHollowFleetConverges(t *testing.T) {
	const n = 30
	discovery := newDiscoveryServer(t)
	configs := newConfigurations(t, discovery.addr, n)
	host := startHostClient(t)
	for i := range n {
		host.command("start", fmt.Sprintf("a%d", i), configs.config(i))
	}
	inForce := func(kind capacity.ChangeKind, version uint64) {
		t.Helper()
		have, latest := map[string]bool{}, int64(0)
		what := fmt.Sprintf("%s %d in force everywhere", kind, version)
		for since := 0; len(have) < n; {
			var event HostEvent
			event, since = host.await(since, what, func(event *HostEvent) bool {
				return event.InForce != nil && event.InForce.Kind == kind && event.InForce.Version >= version
			})
			have[event.InForce.Agent] = true
			latest = max(latest, event.InForce.AtUs)
		}
		if late := time.Since(time.UnixMicro(latest)); late < 0 || late > waitTimeout {
			t.Errorf("in force %v ago", late)
		}
	}
	inForce(kindList, 1)
	inForce(kindList, discovery.addServer())
	r := host.awaitReport("one view", func(r *HostReport) bool {
		digests := map[string]bool{}
		for _, a := range r.Agents {
			if digests[a.Digest] = true; a.Members != n || !a.Settled || a.ListVersion != 2 || a.Servers != 2 {
				return false
			}
		}
		return len(r.Agents) == n && len(digests) == 1
	})
	for name, a := range r.Agents {
		noView := a.ViewIn == 0 || a.ViewOut == 0 || a.ViewMsgIn == 0 || a.ViewMsgOut == 0
		if noView || a.ListIn == 0 || a.ListOut == 0 || a.ListCalls < 2 {
			t.Errorf("%s counted %+v", name, a)
		}
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
		host.command("reload", fmt.Sprintf("a%d", i), configs.configWith(i, 2))
	}
	inForce(kindSettings, 0)
	t.Logf("%d agents: %.1f MB live, %.1f MB resident, %d goroutines, %d descriptors",
		n, r.HeapMB, r.ResidentMB, r.Goroutines, r.Descriptors)
}

// TestKillAndStopInMembership: to the other agents a kill looks like SIGKILL, and a stop like SIGTERM.
func TestKillAndStopInMembership(t *testing.T) {
	discovery := newDiscoveryServer(t)
	configs := newConfigurations(t, discovery.addr, 4)
	host := startHostClient(t)
	for i := range 4 {
		host.command("start", fmt.Sprintf("a%d", i), configs.config(i))
	}
	host.awaitReport("four members", func(r *HostReport) bool {
		for _, a := range r.Agents {
			if a.Members != 4 || !a.Settled {
				return false
			}
		}
		return len(r.Agents) == 4
	})
	host.command("kill", "a2", nil)
	host.command("stop", "a3", nil)
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
	for end := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
		var err error
		if seen, err = membership.FetchStatus(t.Context(), configs.adminAddress(0), "since=0"); err != nil {
			t.Fatal(err)
		}
		right := 0
		for name, state := range want {
			if m, ok := seen.Snapshot.Member(name); ok && m.State == state {
				right++
			}
		}
		if right == len(want) {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("members %+v", seen.Members)
		}
	}
	for _, c := range seen.Changes {
		if c.Name == "a2" && c.To == membership.Left {
			t.Error("the killed agent left gracefully")
		}
	}
}

// processResources is the number of goroutines and descriptors of this process.
func processResources(t *testing.T) [2]int {
	t.Helper()
	fds, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return [2]int{runtime.NumGoroutine(), len(fds)}
}

// TestEndedAgentsReleaseResources: an agent that has ended leaves no goroutine and no descriptor,
// whether it ended while it ran, just after its start or during its shutdown.
func TestEndedAgentsReleaseResources(t *testing.T) {
	discovery := newDiscoveryServer(t)
	configs := newConfigurations(t, discovery.addr, 8)
	host := startHostClient(t)
	// What the first agent opens for the whole process is part of the level before.
	host.command("start", "a0", configs.config(0))
	host.await(0, "list in force", func(event *HostEvent) bool { return event.InForce != nil })
	before := processResources(t)
	for same := 0; same < 10; time.Sleep(100 * time.Millisecond) { // it has started once nothing is added
		if now := processResources(t); now[0] > before[0] || now[1] > before[1] {
			before, same = [2]int{max(before[0], now[0]), max(before[1], now[1])}, 0
		}
		same++
	}
	for round := range 20 {
		since := host.count()
		name := fmt.Sprintf("b%d", round)
		host.command("start", name, configs.config(1))
		if round%4 > 0 {
			host.await(since, "list in force", func(event *HostEvent) bool {
				return event.InForce != nil && event.InForce.Agent == name
			})
		}
		switch round % 4 {
		case 1:
			host.command("stop", name, nil)
		case 2:
			host.command("stop", name, nil)
			fallthrough
		default:
			host.command("kill", name, nil)
		}
		if event := host.ended(name); event.Err != "" {
			t.Fatalf("%s ended: %s", name, event.Err)
		}
	}
	var after [2]int
	for end := time.Now().Add(waitTimeout); ; time.Sleep(100 * time.Millisecond) {
		if after = processResources(t); after[0] <= before[0] && after[1] <= before[1] {
			return
		}
		if time.Now().After(end) {
			buf := make([]byte, 1<<20)
			t.Fatalf("goroutines and descriptors %v, before %v\n%s", after, before, buf[:runtime.Stack(buf, true)])
		}
	}
}

// TestInvalidCommands: an invalid command is reported once and has no effect, and the host goes on.
func TestInvalidCommands(t *testing.T) {
	discovery := newDiscoveryServer(t)
	configs := newConfigurations(t, discovery.addr, 2)
	host := startHostClient(t)
	host.command("start", "a0", configs.config(0))
	host.await(0, "list in force", func(event *HostEvent) bool { return event.InForce != nil })
	bad := configs.config(1)
	bad.Seed = "none"
	bare := configs.config(0)
	bare.AdminAddress = ""
	config := func(c configuration) string { return string(marshal(t, c)) }
	for command, want := range map[string]string{
		`{"do":`:                       "command: unexpected EOF",
		`{"do":"dance","agent":"a0"}`:  `command: do: "dance" is none`,
		`{"do":"stop","agnt":"a0"}`:    `unknown field "agnt"`,
		`{"do":"stop"}`:                "stop : no agent named",
		`{"do":"stop","agent":"a1"}`:   "stop a1: does not run",
		`{"do":"kill","agent":"a1"}`:   "kill a1: does not run",
		`{"do":"reload","agent":"a1"}`: "reload a1: does not run",
		`{"do":"start","agent":"a1","config":` + config(bad) + `}`:               "start a1: config: seed",
		`{"do":"start","agent":"a1","config":{"name":3}}`:                        "start a1: config: json",
		`{"do":"start","agent":"a0","config":` + config(configs.config(0)) + `}`: "start a0: runs already",
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
	// An address in use is no invalid command: the agent ends.
	taken := configs.config(1)
	taken.AdminAddress = configs.adminAddress(0)
	host.command("start", "a1", taken)
	if event := host.ended("a1"); !strings.Contains(event.Err, "address already in use") {
		t.Errorf("event %+v", event)
	}
}

// discoveryBytes are the bytes of an agent's calls to discovery, with HTTP headers.
type discoveryBytes struct{ in, out uint64 }

const (
	// silentFrom is the version of the list from which the discovery of TestDiscoveryBytesMatchRealAgent is silent.
	silentFrom = 20
	// comparedCalls is the number of calls up to which the bytes are compared: those that get a version, and watches
	// that time out.
	comparedCalls = silentFrom + 3
)

// TestDiscoveryBytesMatchRealAgent: a hollow agent's calls to discovery are those of the program, with the
// same bytes for the same list.
func TestDiscoveryBytesMatchRealAgent(t *testing.T) {
	configs := newConfigurations(t, newSilentDiscovery(t), 2)
	config := configs.config(1)
	config.Membership = nil
	program := programDiscoveryBytes(t, config)
	config.AdminAddress, config.Listen = configs.adminAddress(0), configs.address(0, clientPort)
	hollow := hollowDiscoveryBytes(t, config)
	compared := 0
	for calls, p := range program {
		if h, ok := hollow[calls]; ok && calls > silentFrom+1 {
			compared++
			t.Logf("%d calls: the program %d bytes in and %d out, hollow %d and %d", calls, p.in, p.out, h.in, h.out)
			if p.in != h.in || p.out != h.out {
				t.Errorf("%d calls: the program %+v, hollow %+v", calls, p, h)
			}
		}
	}
	if compared == 0 {
		t.Errorf("nothing to compare: the program %v, hollow %v", program, hollow)
	}
}

// newSilentDiscovery starts a discovery that has silentFrom versions at once, one a call, and then sends no response:
// watches time out and are made again. It returns the address.
func newSilentDiscovery(t *testing.T) string {
	t.Helper()
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		index, _ := strconv.Atoi(req.FormValue("index"))
		if index >= silentFrom {
			<-req.Context().Done()
			return
		}
		_, _ = fmt.Fprintf(w, `{"version":%d,"full":%t,"servers":[{"id":"s-%[1]d","addr":"127.0.0.1:1","zone":"east",`+
			`"kind":"big","state":"up","weight":1}]}`, index+1, index == 0) // an error: the agent has ended
	}))
	t.Cleanup(func() {
		silent.CloseClientConnections()
		silent.Close()
	})
	return silent.Listener.Addr().String()
}

// programDiscoveryBytes runs the program with a configuration until it has made comparedCalls calls, and returns the
// bytes that it logged, by the number of calls.
func programDiscoveryBytes(t *testing.T, config configuration) map[uint64]discoveryBytes {
	t.Helper()
	log := startProgram(t, config)
	read := make(chan map[uint64]discoveryBytes, 1)
	go func() {
		read <- readDiscoveryBytes(log)
		_, _ = io.Copy(io.Discard, log) // so that the program does not wait
	}()
	select {
	case bytes := <-read:
		return bytes
	case <-time.After(waitTimeout):
		t.Fatalf("the program does not make %d calls", comparedCalls)
		return nil
	}
}

// startProgram builds and starts the program with a configuration and returns its log. The test's end kills it.
func startProgram(t *testing.T, config configuration) io.Reader {
	t.Helper()
	dir := t.TempDir()
	bin := filepath.Join(dir, "agent")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", bin, "../../cmd/agent")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, marshal(t, config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), bin)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+path, "PROXY_NAME=", "PROXY_LISTEN=", "PROXY_DISCOVERY=",
		"PROXY_MANAGEMENT=", "PROXY_LISTEN_FD=")
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it fails only where the process has ended
		_ = cmd.Wait()         // it was killed
	})
	return log
}

// readDiscoveryBytes reads the counts of an agent's log until it has those of comparedCalls calls, or ends.
func readDiscoveryBytes(log io.Reader) map[uint64]discoveryBytes {
	counts := regexp.MustCompile(`listIn:(\d+) listOut:(\d+) listCalls:(\d+)`)
	byCalls := map[uint64]discoveryBytes{}
	for lines := bufio.NewScanner(log); lines.Scan(); {
		if found := counts.FindStringSubmatch(lines.Text()); found != nil {
			var n [3]uint64
			for i := range n {
				n[i], _ = strconv.ParseUint(found[i+1], 10, 64)
			}
			byCalls[n[2]] = discoveryBytes{in: n[0], out: n[1]}
		}
		if byCalls[comparedCalls] != (discoveryBytes{}) {
			break
		}
	}
	return byCalls
}

// hollowDiscoveryBytes runs a hollow agent with a configuration until it has made comparedCalls calls, and returns the
// bytes that it reported, by the number of calls.
func hollowDiscoveryBytes(t *testing.T, config configuration) map[uint64]discoveryBytes {
	t.Helper()
	host := startHostClient(t)
	host.command("start", "a1", config)
	byCalls := map[uint64]discoveryBytes{}
	host.awaitReport(fmt.Sprintf("%d calls", comparedCalls), func(r *HostReport) bool {
		a := r.Agents["a1"]
		byCalls[a.ListCalls] = discoveryBytes{in: a.ListIn, out: a.ListOut}
		return a.ListCalls >= comparedCalls
	})
	return byCalls
}
