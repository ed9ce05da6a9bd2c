package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

const (
	// soakSeedsVariable sets the number of seeds of a soak.
	soakSeedsVariable = "FERNBEAM_SOAK_SEEDS"
	defaultSoakSeeds  = 8
	// soakClients is the number of clients of a run, each with one connection at a time.
	soakClients = 24
	// maxSoakSignals is the most processes that a run signals one after another.
	maxSoakSignals = 4
	// earlyKill is the earliest time after a start at which a process is killed without a warning.
	earlyKill = 300 * time.Millisecond
	// soakConnectTime is how long a client tries to connect.
	soakConnectTime = 200 * time.Millisecond
	// leavingStep is the number of requests of a client after each of which it leaves one without waiting for its
	// response.
	leavingStep = 7
	// latenessInterval is the interval at which the lateness of the test's own process is measured.
	latenessInterval = 10 * time.Millisecond
	// maxSharedRun is the longest time for which two processes of an upgrade run before the first is told to end.
	maxSharedRun = time.Second
)

// soakSeeds returns the number of seeds of a soak, which is defaultSeeds unless the environment sets it.
func soakSeeds(defaultSeeds uint64) uint64 {
	if seeds, err := strconv.ParseUint(os.Getenv(soakSeedsVariable), 10, 32); err == nil {
		return seeds
	}
	return defaultSeeds
}

// Through series of signals and upgrades, in some runs beside a crowd, no request is lost, none executes twice, and no
// process ends by itself or passes its memory limit. Clients use the connections that stay open until the kill, which
// comes as early as the platform may send it. They send a request again, with its id, if the close of its connection
// crosses it, and some leave and send it again.
func TestSoakOfSignals(t *testing.T) {
	binary := buildAgent(t)
	running := make(chan struct{}, parallelCrowds)
	for seed := range soakSeeds(defaultSoakSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			newSoak(t, binary, seed).run(t)
		})
	}
}

// soak is one run: an agent that is signalled and started again, and its clients.
type soak struct {
	binary   string
	random   *rand.Rand
	config   agentConfig
	addr     string
	listener *sharedListener // of the runs with upgrades; nil in the others
	restarts atomic.Int64    // counts kills and starts
	isDown   atomic.Bool     // no process runs; on a shared listener clients can still connect
	latest   time.Duration   // the most by which this process was late; see measureLateness
	term     atomic.Int64    // when SIGTERM was sent to the running process, in nanoseconds; 0 if it was not

	mu       sync.Mutex
	executed map[string]int  // number of executions by request id
	unsure   map[string]bool // ids of requests during which a process was killed
	problems []string
}

// newSoak starts the servers of a run.
func newSoak(t *testing.T, binary string, seed uint64) *soak {
	t.Helper()
	s := &soak{binary: binary, random: rand.New(rand.NewPCG(seed, seed)), executed: map[string]int{},
		unsure: map[string]bool{}}
	var servers []endpoint.Endpoint
	for i := range crowdServers {
		servers = append(servers, listedServer(fmt.Sprintf("s-%d", i), startServer(t, s.serve)))
	}
	s.config = newConfig(silentDiscovery(t), servers...)
	s.config.Limits.MemoryMB = []int{32, 64, 192}[s.random.IntN(3)]
	s.config.Limits.Sockets = []int{256, crowdSockets}[s.random.IntN(2)]
	s.config.Settings.Clients.MarksRetry = true
	s.config.Settings.Classes[0].LatencyObjectiveMs = 200
	s.config.Settings.Classes[0].TotalTimeoutMs = float64(shortTimeout.Milliseconds())
	if s.random.IntN(2) == 0 {
		listener := newSharedListener(t)
		s.listener = &listener
		s.config.Listen = listener.addr
		s.config.Management = anyAddress
	}
	return s
}

// serve is a server that records which requests it executes.
func (s *soak) serve(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength > shortBodySize {
		readPaced(r) // as servers that read slowly
	} else if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if r.Context().Err() != nil {
		return // incomplete
	}
	s.mu.Lock()
	s.executed[r.Header.Get("Request-Id")]++
	s.mu.Unlock()
	simulateWork(serviceTime)
	writeBody(w, "done")
}

// run starts the agent and its clients, and signals one process after another.
func (s *soak) run(t *testing.T) {
	t.Helper()
	p := s.start(t)
	s.addr = s.config.Listen
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	lateness := startParallel(1, func(int) { s.measureLateness(ctx) })
	clients := startParallel(soakClients, func(index int) { s.client(ctx, index) })
	crowd := crowd{stop: func() {}}
	if s.random.IntN(2) == 0 {
		form := crowdForms()[s.random.IntN(len(crowdForms()))]
		t.Logf("crowd: %s", form.name)
		crowd = startCrowd(ctx, s.addr, form, form.clients*s.config.Limits.Sockets/crowdSockets)
	}
	for range 1 + s.random.IntN(maxSoakSignals) {
		if s.listener != nil && s.random.IntN(2) == 0 {
			p = s.upgrade(t, p)
		} else {
			p = s.signalAndRestart(t, p)
		}
	}
	time.Sleep(time.Second) // after the last start
	s.checkMemory(t, p)
	cancel()
	crowd.stop()
	clients.Wait()
	lateness.Wait()
	p.signal(t, syscall.SIGKILL)
	p.awaitEnd(t)
	s.report(t)
}

// report fails the test for each problem of the run. Servers may still be busy with requests of the killed process.
func (s *soak) report(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, executions := range s.executed {
		if executions > 1 && !s.unsure[id] {
			t.Errorf("%s executed %d times", id, executions)
		}
	}
	for _, problem := range s.problems {
		t.Error(problem)
	}
	t.Logf("%d requests executed; shared listener: %v; this process was late by %v at most",
		len(s.executed), s.listener != nil, s.latest)
}

// measureLateness measures how late this process itself gets the processor, until ctx is done. It tells answers that
// came late from those that were read late.
func (s *soak) measureLateness(ctx context.Context) {
	for ctx.Err() == nil {
		due := time.Now().Add(latenessInterval)
		pause(ctx, latenessInterval)
		s.latest = max(s.latest, time.Since(due))
	}
}

// start starts a process and waits until it listens.
func (s *soak) start(t *testing.T) *program {
	t.Helper()
	p := newMeasuredProgram(t, s.binary, s.config)
	if s.listener != nil {
		return s.listener.start(t, p)
	}
	addr, _ := p.startListening(t)
	p.collectLog()
	s.config.Listen = addr // also of later processes
	return p
}

// upgrade starts another process beside the running one, which it then ends as the platform does.
func (s *soak) upgrade(t *testing.T, before *program) *program {
	t.Helper()
	time.Sleep(earlyKill)
	after := s.start(t)
	time.Sleep(time.Duration(s.random.Int64N(int64(maxSharedRun))))
	s.term.Store(time.Now().UnixNano())
	before.signal(t, syscall.SIGTERM)
	limit := int64(s.config.Limits.MemoryMB) * bytesPerMB
	if peak := peakTogether(before, after, earliestKill); peak > limit {
		t.Errorf("%.1f MB of memory of both processes, the limit is %d MB",
			float64(peak)/bytesPerMB, s.config.Limits.MemoryMB)
	}
	s.kill(t, before, true)
	return after
}

// kill kills a process, which may have ended if it was warned.
func (s *soak) kill(t *testing.T, p *program, warned bool) {
	t.Helper()
	s.restarts.Add(1)
	_ = p.cmd.Process.Kill() // it may have ended
	end := p.awaitEnd(t)
	s.term.Store(0)
	status, _ := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	if !status.Signaled() && !warned || strings.Contains(end.log, "panic") {
		t.Errorf("a process ended by itself: %v\n%s", end.err, end.log)
	}
}

// signalAndRestart ends the process in one of the ways of the platform, and starts another.
func (s *soak) signalAndRestart(t *testing.T, p *program) *program {
	t.Helper()
	time.Sleep(earlyKill + time.Duration(s.random.IntN(1500))*time.Millisecond)
	for range s.random.IntN(3) {
		p.signal(t, syscall.SIGHUP)
		time.Sleep(time.Duration(s.random.IntN(50)) * time.Millisecond)
	}
	s.checkMemory(t, p)
	// On a shared listener the platform warns a process only once its successor is ready: see upgrade.
	warned := s.listener == nil && s.random.IntN(2) == 0
	if warned {
		s.term.Store(time.Now().UnixNano())
		p.signal(t, syscall.SIGTERM)
		time.Sleep(earliestKill)
	}
	s.isDown.Store(true)
	s.kill(t, p, warned)
	next := s.start(t)
	s.restarts.Add(1)
	s.isDown.Store(false)
	return next
}

// checkMemory checks the most memory that a process has taken.
func (s *soak) checkMemory(t *testing.T, p *program) {
	t.Helper()
	if peak := p.peakMemory(t, 0); peak > int64(s.config.Limits.MemoryMB)*bytesPerMB {
		t.Errorf("%.1f MB of memory, the limit is %d MB", float64(peak)/bytesPerMB, s.config.Limits.MemoryMB)
	}
}
