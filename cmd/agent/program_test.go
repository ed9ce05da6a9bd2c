package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

// programName is the name of the configuration's file without its extension.
const programName = "agent"

// listening is the first line of the log, with the addresses for clients and for operators.
var listening = regexp.MustCompile(` msg=listening .* addr=(\S+) .* admin=(\S+) `)

// program is the agent as a process of its own, which ends with the test at the latest.
type program struct {
	cmd        *exec.Cmd
	configPath string
	// log is the program's standard error; tests read it line by line until they call collectLog.
	log   *bufio.Reader
	ended chan programEnd
}

// programEnd is how a program ended.
type programEnd struct {
	log string // the lines that collectLog found
	err error  // that of exec.Cmd.Wait
}

// newProgram prepares a program with the text of its configuration's file.
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

// setenv sets an environment variable of a program that has not started.
func (p *program) setenv(name, value string) {
	p.cmd.Env = append(p.cmd.Env, name+"="+value)
}

// limitDescriptors has the system enforce how many descriptors a program that has not started may have.
func (p *program) limitDescriptors(number int) {
	script := fmt.Sprintf("ulimit -n %d && exec %s", number, p.cmd.Path)
	p.cmd.Path = "/bin/sh"
	p.cmd.Args = []string{p.cmd.Path, "-c", script}
}

// writeConfig replaces the configuration's file.
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

// startListening starts the program and returns the addresses at which it listens; admin is `""` if it has no admin
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

// awaitLine reads the log up to a line that matches.
func (p *program) awaitLine(t *testing.T, pattern *regexp.Regexp) {
	t.Helper()
	for line := ""; !pattern.MatchString(line); {
		var err error
		if line, err = p.log.ReadString('\n'); err != nil {
			t.Fatalf("no line of the log matches %q: %v", pattern, err)
		}
	}
}

// collectLog reads the rest of the log in the background, as a full pipe would block the program, up to its end.
func (p *program) collectLog() {
	go func() {
		log, _ := io.ReadAll(p.log) // the pipe ends with the program
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

// awaitEnd waits for the end of a program whose log is collected.
func (p *program) awaitEnd(t *testing.T) programEnd {
	t.Helper()
	select {
	case end := <-p.ended:
		return end
	case <-time.After(testTimeout):
		t.Fatal("the program does not end")
		return programEnd{}
	}
}

// expectCleanEnd waits for the end of a program whose log is collected; it has to end without an error.
func (p *program) expectCleanEnd(t *testing.T) {
	t.Helper()
	if end := p.awaitEnd(t); end.err != nil {
		t.Errorf("the program ended with %v", end.err)
	}
}
