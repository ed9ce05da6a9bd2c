package scaletest

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"time"

	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/processtest"
)

// reals are the processes of the real agent, with what their logs say.
type realAgents struct {
	*processtest.Cluster
	dir      string
	trackers trackers
	client   *http.Client

	mu   sync.Mutex
	logs map[string]*agentLogState
}

// agentLog is how far an agent's log was read, and what its present process said last.
type agentLogState struct {
	offset          int64
	listVersion     uint64 // of the list
	settingsVersion uint64 // their version, 0 while they are the file's
	servers         int    // entries of the list, by the module's view
	droppedLines    int    // lines that the process left out
	// What calls to discovery had taken at the last "figures" line, and that line's time.
	listIn, listOut, listCalls float64
	countersAt                 time.Time
}

// newReals makes the processes, whose configurations NAME.json are in dir; none runs yet.
func newRealAgents(program, dir string, names []string, heard trackers) (*realAgents, error) {
	r := &realAgents{dir: dir, trackers: heard, logs: map[string]*agentLogState{}, client: &http.Client{Timeout: time.Second,
		Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, n := range names {
		r.logs[n] = &agentLogState{}
	}
	if len(names) == 0 {
		return r, nil
	}
	var err error
	r.Cluster, err = processtest.New(processtest.Config{Binary: program, Dir: dir, Names: names, Env: func(name string) []string {
		return []string{"PROXY_CONFIG=" + filepath.Join(dir, name+".json"), "PROXY_NAME=", "PROXY_LISTEN=",
			"PROXY_DISCOVERY=", "PROXY_MANAGEMENT=", "PROXY_LISTEN_FD=", "TMPDIR=" + dir}
	}})
	return r, err
}

// start starts an agent and waits until it takes clients at an address.
func (r *realAgents) start(ctx context.Context, name, listen string) error {
	if err := r.Start(name); err != nil {
		return err
	}
	err := processtest.Await(agentTimeout, name+" is ready", func() bool {
		if ctx.Err() != nil {
			return true
		}
		resp, err := r.client.Get("http://" + listen + "/-/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	r.trackers.forEach(func(t *tracker) { t.started(name) })
	return err
}

// running is how many of the processes run.
func (r *realAgents) runningCount() (n int) {
	if r.Cluster == nil {
		return 0
	}
	for _, name := range r.Names() {
		if r.Running(name) {
			n++
		}
	}
	return n
}

// ended reads what a process that has ended said last.
func (r *realAgents) finishLog(name string) error {
	err := r.readLog(name)
	r.trackers.forEach(func(t *tracker) { t.ended(name) })
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.logs[name]
	*l = agentLogState{offset: l.offset}
	return err
}

// status is an agent's fleet view by its door.
func (r *realAgents) status(ctx context.Context, door string) (*membership.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	return membership.Ask(ctx, door, "members=none&since=4611686018427387904")
}

// The lines of an agent's log that are read (README, "Reading the log"): "list", an answer of
// discovery as it is taken over, "settings taken over", and "figures".
var (
	timePattern     = regexp.MustCompile(`^time=(\S+) `)
	listPattern     = regexp.MustCompile(` msg=list .*\bto=(\d+)\b`)
	settingsPattern = regexp.MustCompile(` msg="settings taken over" .*\bversion=(\d+)`)
	metricsPattern  = regexp.MustCompile(` msg=figures .*module="\{States:\[(\d+) (\d+) (\d+) (\d+)\].*\bunlogged:(\d+)\b.*\blistIn:(\d+) listOut:(\d+) listCalls:(\d+)`)
)

// read reads what an agent's log has beyond what was read of it.
func (r *realAgents) readLog(name string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.logs[name]
	f, err := os.Open(filepath.Join(r.dir, name+".log"))
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.Seek(l.offset, io.SeekStart); err != nil {
		return err
	}
	for in := bufio.NewReader(f); ; {
		line, err := in.ReadBytes('\n')
		if err == io.EOF {
			return nil // a line that is not whole yet is read again
		}
		if err != nil {
			return err
		}
		l.offset += int64(len(line))
		if err := r.handleLine(name, l, bytes.TrimSuffix(line, []byte("\n"))); err != nil {
			return fmt.Errorf("%s's log: %w", name, err)
		}
	}
}

// take takes one line; the caller holds mu.
func (r *realAgents) handleLine(name string, l *agentLogState, line []byte) error {
	list, settings, counts := listPattern.FindSubmatch(line), settingsPattern.FindSubmatch(line), metricsPattern.FindSubmatch(line)
	if list == nil && settings == nil && counts == nil {
		return nil
	}
	stamp := timePattern.FindSubmatch(line)
	if stamp == nil {
		return fmt.Errorf("a line without a time: %s", line)
	}
	at, err := time.Parse(time.RFC3339Nano, string(stamp[1]))
	if err != nil {
		return err
	}
	for _, of := range []struct {
		kind string
		line [][]byte
		last *uint64
	}{{kindList, list, &l.listVersion}, {kindSettings, settings, &l.settingsVersion}} {
		if of.line == nil {
			continue
		}
		version, err := strconv.ParseUint(string(of.line[1]), 10, 64)
		if err != nil {
			return err
		}
		*of.last = max(*of.last, version)
		r.trackers[of.kind].inForce(name, version, at)
		return nil
	}
	var n [8]int
	for i := range n {
		if n[i], err = strconv.Atoi(string(counts[i+1])); err != nil {
			return err
		}
	}
	l.servers = n[0] + n[1] + n[2] + n[3] // by the module's states
	if n[4] > l.droppedLines {
		r.trackers.forEach(func(t *tracker) { t.markIncomplete(name) })
	}
	l.droppedLines = n[4]
	l.listIn, l.listOut, l.listCalls, l.countersAt = float64(n[5]), float64(n[6]), float64(n[7]), at
	return nil
}

// knows is what an agent's log has told.
func (r *realAgents) state(name string) agentLogState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *r.logs[name]
}

// counted waits until an agent has written its counts after a time: it does so each second.
func (r *realAgents) awaitCounters(ctx context.Context, name string, after time.Time) error {
	for end := time.Now().Add(countersTimeout); ; {
		if err := r.readLog(name); err != nil || r.state(name).countersAt.After(after) {
			return err
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s has not written its counts for %v", name, countersTimeout)
		}
		select {
		case <-time.After(logPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// An agent writes its counts each second (README, "Reading the log"), on a full machine later.
const countersTimeout, logPollInterval = 5 * time.Second, 20 * time.Millisecond
