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
	"strconv"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

// discoveryBytes counts the bytes of an agent's calls to discovery, including HTTP headers.
type discoveryBytes struct{ in, out uint64 }

const (
	// silentFrom is the last version of the list that the silent discovery sends.
	silentFrom = 20
	// comparedCalls is the number of calls up to which the bytes are compared. It includes all calls that return a
	// version, and some watches that time out.
	comparedCalls = silentFrom + 3
)

// TestDiscoveryBytesMatchRealAgent checks that a hollow agent's calls to discovery have as many bytes as those of the
// agent program for the same list.
func TestDiscoveryBytesMatchRealAgent(t *testing.T) {
	configs := newConfigurations(t, newSilentDiscovery(t), 2)
	config := configs.config(1)
	config.Fleet = nil
	program := programDiscoveryBytes(t, config)
	config.Management, config.Listen = configs.adminAddress(0), configs.address(0, clientPort)
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

// newSilentDiscovery starts a fake discovery and returns its address. The fake responds to the first silentFrom calls
// with one version each. It responds to no later call, so that watches time out and are repeated.
func newSilentDiscovery(t *testing.T) string {
	t.Helper()
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		index, _ := strconv.Atoi(req.FormValue("index"))
		if index >= silentFrom {
			<-req.Context().Done()
			return
		}
		_, _ = fmt.Fprintf(w, `{"version":%d,"full":%t,"servers":[{"id":"s-%[1]d","addr":"127.0.0.1:1","zone":"east",`+
			`"kind":"big","state":"up","weight":1}]}`, index+1, index == 0) // fails only if the agent has ended
	}))
	t.Cleanup(func() {
		silent.CloseClientConnections()
		silent.Close()
	})
	return silent.Listener.Addr().String()
}

// programDiscoveryBytes runs the agent program with a configuration until it has made comparedCalls calls. It returns
// the bytes that the program logged, by the number of calls.
func programDiscoveryBytes(t *testing.T, config processtest.AgentFile) map[uint64]discoveryBytes {
	t.Helper()
	log := startProgram(t, config)
	read := make(chan map[uint64]discoveryBytes, 1)
	go func() {
		read <- readDiscoveryBytes(log)
		_, _ = io.Copy(io.Discard, log) // so that the program is not blocked
	}()
	select {
	case bytes := <-read:
		return bytes
	case <-time.After(waitTimeout):
		t.Fatalf("the program did not make %d calls in time", comparedCalls)
		return nil
	}
}

// startProgram starts the agent program with a configuration and returns its log. The program is killed at the end of
// the test.
func startProgram(t *testing.T, config processtest.AgentFile) io.Reader {
	t.Helper()
	dir := t.TempDir()
	if err := config.Write(dir, config.Name); err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), filepath.Join(programs(t), "agent"))
	cmd.Env = append(os.Environ(), processtest.AgentEnv(dir)(config.Name)...)
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // fails only if the process has ended
		_ = cmd.Wait()         // returns an error because the process was killed
	})
	return log
}

// readDiscoveryBytes reads the counters in an agent's log until it finds those of comparedCalls calls, or the log ends.
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

// hollowDiscoveryBytes runs a hollow agent with a configuration until it has made comparedCalls calls. It returns the
// bytes that the agent reported, by the number of calls.
func hollowDiscoveryBytes(t *testing.T, config processtest.AgentFile) map[uint64]discoveryBytes {
	t.Helper()
	host := startHostClient(t)
	host.command(commandStart, "a1", config)
	byCalls := map[uint64]discoveryBytes{}
	host.awaitReport(fmt.Sprintf("%d calls", comparedCalls), func(r *HostReport) bool {
		a := r.Agents["a1"]
		byCalls[a.ListCalls] = discoveryBytes{in: a.ListIn, out: a.ListOut}
		return a.ListCalls >= comparedCalls
	})
	return byCalls
}
