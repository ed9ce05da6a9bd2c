package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// programName is the name of the program. Its configuration file has the same name with an extension.
	programName = "agent"
	// raceExitCode is the exit code of a program in which the race detector has found a race, and raceReportStart the
	// beginning of its report in the log.
	raceExitCode    = 66
	raceReportStart = "WARNING: DATA RACE"
)

// listening matches the first line of the log, which contains the addresses of the client and admin listeners.
var listening = regexp.MustCompile(` msg=listening .* addr=(\S+) .* admin=(\S+) `)

// program is an agent in a separate process. It is killed if it is still running when the test ends.
type program struct {
	cmd        *exec.Cmd
	configPath string
	// log is the program's standard error. Tests may read it line by line until they call collectLog.
	log   *bufio.Reader
	ended chan programEnd
}

// programEnd describes how a program ended.
type programEnd struct {
	log string // the rest of the log, read by collectLog
	err error  // the error of exec.Cmd.Wait
}

// raceReport returns the report of the race detector if it has ended the program, else "".
func (e programEnd) raceReport() string {
	var exit *exec.ExitError
	if !errors.As(e.err, &exit) || exit.ExitCode() != raceExitCode {
		return ""
	}
	if start := strings.Index(e.log, raceReportStart); start >= 0 {
		return e.log[start:]
	}
	return e.log // it may begin in lines that the test has read
}

// newProgram prepares a program with the given configuration file but doesn't start it.
func newProgram(t *testing.T, config []byte) *program {
	t.Helper()
	dir := t.TempDir()
	p := &program{
		cmd:        exec.CommandContext(t.Context(), os.Args[0]),
		configPath: filepath.Join(dir, programName+".json"),
		ended:      make(chan programEnd, 1),
	}
	p.writeConfig(t, config)
	p.cmd.Env = append(os.Environ(), processtest.AgentEnv(dir)(programName)...)
	p.setenv(runMainVariable, runMainValue)
	return p
}

// setenv sets an environment variable. It must be called before the program is started.
func (p *program) setenv(name, value string) {
	p.cmd.Env = append(p.cmd.Env, name+"="+value)
}

// limitDescriptors makes the system limit the number of open descriptors. It must be called before the program is
// started.
func (p *program) limitDescriptors(number int) {
	script := fmt.Sprintf("ulimit -n %d && exec %s", number, p.cmd.Path)
	p.cmd.Path = "/bin/sh"
	p.cmd.Args = []string{p.cmd.Path, "-c", script}
}

// writeConfig replaces the configuration file.
func (p *program) writeConfig(t *testing.T, text []byte) {
	t.Helper()
	if err := os.WriteFile(p.configPath, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// start starts the program.
func (p *program) start(t *testing.T) {
	t.Helper()
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.log = bufio.NewReader(stderr)
}

// startListening starts the program and returns the addresses on which it listens; admin is `""` if there is no admin
// endpoint.
func (p *program) startListening(t *testing.T) (clients, admin string) {
	t.Helper()
	p.start(t)
	line, err := p.log.ReadString('\n')
	found := listening.FindStringSubmatch(line)
	if err != nil || found == nil {
		t.Fatalf("no addresses in the log's first line %q: %v", line, err)
	}
	return found[1], found[2]
}

// awaitLine reads the log until a line matches pattern.
func (p *program) awaitLine(t *testing.T, pattern *regexp.Regexp) {
	t.Helper()
	for line := ""; !pattern.MatchString(line); {
		var err error
		if line, err = p.log.ReadString('\n'); err != nil {
			t.Fatalf("no line of the log matches %q: %v", pattern, err)
		}
	}
}

// collectLog reads the rest of the log in the background until the program ends. Otherwise a full pipe would block the
// program.
func (p *program) collectLog() {
	go func() {
		log, _ := io.ReadAll(p.log) // the pipe is closed when the program ends
		p.ended <- programEnd{string(log), p.cmd.Wait()}
	}()
}

// signal sends a signal to the program.
func (p *program) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}

// awaitEnd waits until the program has ended. collectLog must have been called.
func (p *program) awaitEnd(t *testing.T) programEnd {
	t.Helper()
	select {
	case end := <-p.ended:
		if report := end.raceReport(); report != "" {
			t.Errorf("the race detector reports:\n%s", report)
		}
		return end
	case <-time.After(testTimeout):
		t.Fatal("the program did not end in time")
		return programEnd{}
	}
}

// expectCleanEnd waits until the program has ended, and checks that it ended without an error. collectLog must have
// been called.
func (p *program) expectCleanEnd(t *testing.T) {
	t.Helper()
	if end := p.awaitEnd(t); end.err != nil {
		t.Errorf("the program ended with %v", end.err)
	}
}
