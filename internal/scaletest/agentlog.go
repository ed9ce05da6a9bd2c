package scaletest

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"time"

	"fernbeam.example/fernbeam/internal/capacity"
)

// agentLogState is the position up to which an agent's log has been read, and the last values that the agent's
// current process logged.
type agentLogState struct {
	offset          int64
	listVersion     uint64
	settingsVersion uint64 // 0 while the settings are those of the configuration file
	servers         int    // entries of the endpoint list, summed over the policy's states
	droppedLines    int    // log lines that the process dropped
	// The counters of calls to discovery in the last "metrics" line, and the time of that line.
	listIn, listOut, listCalls float64
	countersAt                 time.Time
}

// The log lines that are evaluated (ON-CALL, "Reading the log"): "endpoint list", logged when the response to a
// poll or watch comes into force; "settings applied"; and "metrics".
var (
	timePattern     = regexp.MustCompile(`^time=(\S+) `)
	listPattern     = regexp.MustCompile(` msg="endpoint list" .*\bto=(\d+)\b`)
	settingsPattern = regexp.MustCompile(` msg="settings applied" .*\bversion=(\d+)`)
	metricsPattern  = regexp.MustCompile(` msg=metrics .*policy="\{States:\[(\d+) (\d+) (\d+) (\d+)\]` +
		`.*\bunlogged:(\d+)\b.*\blistIn:(\d+) listOut:(\d+) listCalls:(\d+)`)
)

// The groups of metricsPattern: the numbers of servers in each of the policy's states, followed by counters.
const (
	stateCount    = 4
	droppedGroup  = 4
	listInGroup   = 5
	listOutGroup  = 6
	listCallGroup = 7
	groupCount    = 8
)

const (
	// countersTimeout is how long an agent may take to log its counters. It logs them every second (README,
	// "Reading the log"), or later on a loaded machine.
	countersTimeout = 5 * time.Second
	// logPollInterval is the pause between two reads of a log.
	logPollInterval = 20 * time.Millisecond
)

// state returns what has been read from an agent's log.
func (r *realAgents) state(name string) agentLogState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *r.logs[name]
}

// finishLog reads the rest of the log of a process that has ended, and resets the state for the next process.
func (r *realAgents) finishLog(name string) error {
	err := r.readLog(name)
	r.trackers.forEach(func(t *tracker) { t.ended(name) })
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.logs[name]
	*state = agentLogState{offset: state.offset}
	return err
}

// awaitCounters waits until an agent has logged its counters later than the time after.
func (r *realAgents) awaitCounters(ctx context.Context, name string, after time.Time) error {
	deadline := time.Now().Add(countersTimeout)
	for {
		if err := r.readLog(name); err != nil {
			return err
		}
		if r.state(name).countersAt.After(after) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s has not logged its counters within %v", name, countersTimeout)
		}
		select {
		case <-time.After(logPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// readLog reads the complete lines that were added to an agent's log since the last call.
func (r *realAgents) readLog(name string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.logs[name]
	file, err := os.Open(filepath.Join(r.directory, name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // nothing was written to it
	if _, err := file.Seek(state.offset, io.SeekStart); err != nil {
		return err
	}
	reader := bufio.NewReader(file)
	for {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil // the next call reads an incomplete line again
		}
		if err != nil {
			return err
		}
		state.offset += int64(len(line))
		if err := r.handleLine(name, state, bytes.TrimSuffix(line, []byte("\n"))); err != nil {
			return fmt.Errorf("log of %s: %w", name, err)
		}
	}
}

// handleLine evaluates one line. The caller must hold r.mu.
func (r *realAgents) handleLine(name string, state *agentLogState, line []byte) error {
	if match := listPattern.FindSubmatch(line); match != nil {
		return r.handleVersion(name, kindList, &state.listVersion, line, match[1])
	}
	if match := settingsPattern.FindSubmatch(line); match != nil {
		return r.handleVersion(name, kindSettings, &state.settingsVersion, line, match[1])
	}
	if match := metricsPattern.FindSubmatch(line); match != nil {
		return r.handleMetrics(name, state, line, match[1:])
	}
	return nil
}

// handleVersion records that the version in text came into force at the time of the line.
func (r *realAgents) handleVersion(
	name string, kind capacity.ChangeKind, latest *uint64, line, text []byte,
) error {
	at, err := lineTime(line)
	if err != nil {
		return err
	}
	version, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return err
	}
	*latest = max(*latest, version)
	r.trackers[kind].inForce(name, version, at)
	return nil
}

// handleMetrics records an agent's counters from the groups of a "metrics" line.
func (r *realAgents) handleMetrics(name string, state *agentLogState, line []byte, texts [][]byte) error {
	at, err := lineTime(line)
	if err != nil {
		return err
	}
	var values [groupCount]int
	for i := range values {
		if values[i], err = strconv.Atoi(string(texts[i])); err != nil {
			return err
		}
	}
	state.servers = 0
	for _, count := range values[:stateCount] {
		state.servers += count
	}
	if values[droppedGroup] > state.droppedLines {
		r.trackers.forEach(func(t *tracker) { t.markIncomplete(name) })
	}
	state.droppedLines = values[droppedGroup]
	state.listIn = float64(values[listInGroup])
	state.listOut = float64(values[listOutGroup])
	state.listCalls = float64(values[listCallGroup])
	state.countersAt = at
	return nil
}

// lineTime returns the time of a log line.
func lineTime(line []byte) (time.Time, error) {
	match := timePattern.FindSubmatch(line)
	if match == nil {
		return time.Time{}, fmt.Errorf("line has no time: %s", line)
	}
	return time.Parse(time.RFC3339Nano, string(match[1]))
}
