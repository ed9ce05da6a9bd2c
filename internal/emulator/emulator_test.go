package emulator

import (
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestExhaustedDescriptorsAreReported checks that a run reports an error if the process runs out of descriptors.
func TestExhaustedDescriptorsAreReported(t *testing.T) {
	config := smallConfig()
	config.Rate = 100
	config.Direct = true
	e, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 3, Max: limit.Max}); err != nil {
		t.Fatal(err)
	}
	result := e.Run(t.Context(), 200*time.Millisecond)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	if len(result.Errors) == 0 || !strings.Contains(result.Errors[0], "too many open files") {
		t.Errorf("errors %v, want one about too many open files", result.Errors)
	}
}
