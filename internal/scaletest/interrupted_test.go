package scaletest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/capacity"
	"fernbeam.example/fernbeam/internal/processtest"
)

// descendants returns the child processes of a process and all of their descendants.
func descendants(pid int) []int {
	children := childProcesses()
	all := slices.Clone(children[pid])
	for next := 0; next < len(all); next++ {
		all = append(all, children[all[next]]...)
	}
	return all
}

// childProcesses returns the processes of this machine by their parent process.
func childProcesses() map[int][]int {
	children := map[int][]int{}
	stats, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, path := range stats {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the process has ended
		}
		var child, parent int
		var state string
		_, childErr := fmt.Sscan(string(text), &child)
		_, parentErr := fmt.Sscan(string(text[bytes.LastIndexByte(text, ')')+1:]), &state, &parent)
		if childErr == nil && parentErr == nil {
			children[parent] = append(children[parent], child)
		}
	}
	return children
}

// haveEnded reports whether all of the processes have ended. Zombies count as ended.
func haveEnded(pids []int) bool {
	return !slices.ContainsFunc(pids, func(pid int) bool {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		return err == nil && !strings.HasPrefix(string(text[bytes.LastIndexByte(text, ')')+1:]), " Z")
	})
}

// TestInterrupted checks that a run that is interrupted or killed leaves no process behind, and that the runs recorded
// before are complete.
func TestInterrupted(t *testing.T) {
	t.Parallel()
	for _, sig := range []syscall.Signal{syscall.SIGINT, syscall.SIGKILL} {
		t.Run(sig.String(), func(t *testing.T) {
			t.Parallel()
			run := startScaleRun(t)
			started := run.awaitProcesses(t)
			if err := run.cmd.Process.Signal(sig); err != nil {
				t.Fatal(err)
			}
			err := run.cmd.Wait()
			if err == nil || sig == syscall.SIGINT && !strings.Contains(run.output.String(), "interrupted") {
				t.Errorf("the run ended with error %v and printed:\n%s", err, &run.output)
			}
			ended := func() bool { return haveEnded(started) }
			if err := processtest.Await(10*time.Second, "all its processes have ended", ended); err != nil {
				t.Error(err)
			}
			checkRecord(t, run.record)
		})
	}
}

// scaleRun is a process of "experiment scale".
type scaleRun struct {
	cmd    *exec.Cmd
	record string       // path of the record file
	output bytes.Buffer // output of the process; complete once it has ended
}

// startScaleRun starts a run of two load profiles with several repeats. It is killed at the end of the test.
func startScaleRun(t *testing.T) *scaleRun {
	t.Helper()
	bin := programs(t)
	dir := t.TempDir()
	run := &scaleRun{record: filepath.Join(dir, "record.jsonl")}
	plan := filepath.Join(dir, "plan.toml")
	const planText = "sizes = [6]\nreal = 2\nagents_a_host = 3\ndays = [\"quiet\", \"ordinary\"]\nseconds = 5\n" +
		"hurry = 5000.0\nrepeats = 9"
	if err := os.WriteFile(plan, []byte(planText), 0o600); err != nil {
		t.Fatal(err)
	}
	run.cmd = exec.CommandContext(t.Context(), filepath.Join(bin, "experiment"), "scale", plan,
		"--record", run.record, "--programs", bin, "--logs", dir, "--target", targetFile)
	run.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	run.cmd.Stdout, run.cmd.Stderr = &run.output, &run.output
	if err := run.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = run.cmd.Process.Kill() }) // fails only if the process has ended
	return run
}

// awaitProcesses waits until the first run is recorded and all processes of a fleet are running, and returns their
// process ids.
func (run *scaleRun) awaitProcesses(t *testing.T) (started []int) {
	t.Helper()
	recorded := func() bool {
		text, _ := os.ReadFile(run.record)
		return bytes.Contains(text, []byte("\n"))
	}
	if err := processtest.Await(50*time.Second, "the first run is recorded", recorded); err != nil {
		t.Fatalf("%v\n%s", err, &run.output)
	}
	// In the ordinary run an agent may be stopped for a restart.
	err := processtest.Await(10*time.Second, "2 hosts, 2 agents and 3 discovery instances run", func() bool {
		started = descendants(run.cmd.Process.Pid)
		return len(started) == 2+2+3
	})
	if err != nil {
		t.Fatalf("%v: %d processes run", err, len(started))
	}
	return started
}

// checkRecord checks that each line of a record is a complete run.
func checkRecord(t *testing.T, path string) {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }() // nothing was written to it
	for in := bufio.NewScanner(f); in.Scan(); {
		var r capacity.Run
		if err := json.Unmarshal(in.Bytes(), &r); err != nil || r.Profile == "" || len(r.Roles) != 4 {
			t.Errorf("invalid record (%v): %s", err, in.Text())
		}
	}
}
