package main

import (
	"os"
	"strings"
	"testing"
	"time"
)

const (
	// runMainVariable is the environment variable that makes the test binary run the program instead of tests if it has
	// the value runMainValue.
	runMainVariable = "FERNBEAM_TEST_RUN_MAIN"
	runMainValue    = "1"
	// testTimeout bounds every wait in the tests. It is longer than any of them should take.
	testTimeout = 20 * time.Second
)

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) == runMainValue {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func TestInvalidConfigPrintsOneErrorLine(t *testing.T) {
	config := newConfig("127.0.0.1:1")
	config.Settings.Classes[0].Idempotency = "twice"
	p := newProgram(t, config.text(t))
	var stderr strings.Builder
	p.cmd.Stderr = &stderr
	err := p.cmd.Run()
	if code := p.cmd.ProcessState.ExitCode(); err == nil || code != 1 {
		t.Errorf("exit code %d, want 1", code)
	}
	if text := stderr.String(); strings.Count(text, "\n") != 1 || !strings.Contains(text, "classes[0].effect") {
		t.Errorf("standard error %q, want one line that names the key", text)
	}
}
