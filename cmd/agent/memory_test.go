package main

import (
	"fmt"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// crowdServers is the number of servers behind the agent of a crowd.
	crowdServers = 12
	// properClientCount is the number of proper clients beside a crowd.
	properClientCount = 8
	// crowdTime is how long a crowd lasts before and again after a kill.
	crowdTime  = 2500 * time.Millisecond
	bytesPerMB = 1 << 20
	// parallelCrowds is the number of crowds that run at the same time.
	parallelCrowds = 2
	// crowdSockets are the descriptors for which crowdForm.clients is meant; with fewer there are fewer clients.
	crowdSockets = 1024
)

// buildAgent builds the program as it is deployed, without the race detector, which takes several times the memory.
func buildAgent(t *testing.T) (path string) {
	t.Helper()
	dir := t.TempDir()
	if err := processtest.Build(t.Context(), dir, programName); err != nil {
		t.Fatal(err)
	}
	return filepath.Join(dir, programName)
}

// newMeasuredProgram prepares a program for a test of its memory.
func newMeasuredProgram(t *testing.T, binary string, config agentConfig) *program {
	t.Helper()
	p := newProgram(t, config.text(t))
	p.cmd.Path = binary
	p.limitDescriptors(config.Limits.Sockets)
	return p
}

// A process stays within its memory limit whatever the clients and the servers do, also right after a kill, and proper
// clients beside a crowd get their answers.
func TestCrowdStaysWithinTheMemoryLimit(t *testing.T) {
	binary := buildAgent(t)
	running := make(chan struct{}, parallelCrowds)
	for _, memoryMB := range []int{32, 64, 192} {
		for _, sockets := range []int{256, crowdSockets} {
			for _, form := range crowdForms() {
				name := fmt.Sprintf("%d MB/%d descriptors/%s", memoryMB, sockets, form.name)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					running <- struct{}{}
					defer func() { <-running }()
					run := crowdRun{binary: binary, form: form, memoryMB: memoryMB, sockets: sockets}
					run.run(t)
				})
			}
		}
	}
}

// crowdRun is a run of an agent before a crowd.
type crowdRun struct {
	binary   string
	form     crowdForm
	memoryMB int
	sockets  int
}

func (c *crowdRun) run(t *testing.T) {
	t.Helper()
	config := c.config(t)
	before := newMeasuredProgram(t, c.binary, config)
	addr, _ := before.startListening(t)
	before.collectLog()
	config.Listen = addr
	proper := startProperClients(t.Context(), addr, properClientCount)
	crowd := startCrowd(t.Context(), addr, c.form, c.form.clients*c.sockets/crowdSockets)

	peak := before.peakMemory(t, crowdTime)
	proper.restarting.Store(true)
	before.signal(t, syscall.SIGKILL)
	before.awaitEnd(t)
	after := newMeasuredProgram(t, c.binary, config)
	after.startListening(t)
	after.collectLog()
	proper.restarting.Store(false)
	peakAfter := after.peakMemory(t, crowdTime)
	proper.stop()
	crowd.stop()
	after.signal(t, syscall.SIGKILL)
	end := after.awaitEnd(t)

	t.Logf("peak %.1f MB, after the kill %.1f MB; proper requests: %d sent, %d served, %d refused, %d lost",
		float64(peak)/bytesPerMB, float64(peakAfter)/bytesPerMB,
		proper.sent.Load(), proper.served.Load(), proper.refused.Load(), len(proper.lost))
	if limit := int64(c.memoryMB) * bytesPerMB; max(peak, peakAfter) > limit {
		t.Errorf("memory above the limit of %d MB", c.memoryMB)
	}
	proper.check(t)
	if t.Failed() {
		t.Logf("log after the kill:\n%s", end.log)
	}
}

// config returns the configuration of the agent, with its servers started.
func (c *crowdRun) config(t *testing.T) agentConfig {
	t.Helper()
	var servers []endpoint.Endpoint
	for i := range crowdServers {
		servers = append(servers, listedServer(fmt.Sprintf("s-%d", i), startServer(t, crowdServer(c.form.slowServers))))
	}
	config := newConfig(silentDiscovery(t), servers...)
	config.Limits.MemoryMB = c.memoryMB
	config.Limits.Sockets = c.sockets
	config.Settings.Clients.MarksRetry = true // requests with a short timeout are no retries
	return config
}

// peakMemory returns the most resident memory of the program from its start to the end of the given time.
func (p *program) peakMemory(t *testing.T, during time.Duration) (bytes int64) {
	t.Helper()
	time.Sleep(during) // the time for which the crowd lasts
	usage, err := processtest.StatusBytes(p.cmd.Process.Pid, processtest.PeakMemory)
	if err != nil {
		t.Fatal(err)
	}
	return usage
}

// adminCallers is the number of concurrent callers of the admin endpoint beside a crowd, more than it accepts.
const adminCallers = 64

// Calls of the admin endpoint with very many short header fields and trailer fields stay within the memory limit
// beside a crowd of clients.
func TestAdminCallsBesideACrowdStayWithinTheMemoryLimit(t *testing.T) {
	forms := crowdForms()
	run := crowdRun{binary: buildAgent(t), form: forms[len(forms)-1], memoryMB: floodMemoryMB, sockets: crowdSockets}
	config := run.config(t)
	config.Management = anyAddress
	p := newMeasuredProgram(t, run.binary, config)
	addr, admin := p.startListening(t)
	p.collectLog()
	crowd := startCrowd(t.Context(), addr, run.form, run.form.clients)
	callers := startCrowd(t.Context(), admin, crowdForm{member: callWithShortFields}, adminCallers)
	peak := p.peakMemory(t, 2*crowdTime)
	callers.stop()
	crowd.stop()
	p.signal(t, syscall.SIGKILL)
	p.awaitEnd(t)
	t.Logf("peak %.1f MB", float64(peak)/bytesPerMB)
	if peak > floodMemoryMB*bytesPerMB {
		t.Errorf("memory above the limit of %d MB", floodMemoryMB)
	}
}
