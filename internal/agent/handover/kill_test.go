package handover

import (
	"bufio"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

const (
	// savePathVariable is the environment variable that makes the test binary save to the file that it names, without
	// an end, instead of running tests.
	savePathVariable = "FERNBEAM_TEST_SAVE_PATH"
	// kills is how many processes are killed while they save.
	kills = 200
	// maxSavingTime is the longest time for which one of them saves.
	maxSavingTime = 5 * time.Millisecond
	// killSeed is the seed of the times at which they are killed.
	killSeed = 10
)

func TestMain(m *testing.M) {
	if path := os.Getenv(savePathVariable); path != "" {
		saveForever(NewFile(path, testAgent, testMaxBytes))
	}
	os.Exit(m.Run())
}

// saveForever saves until the process is killed, and prints a line after the first save.
func saveForever(file *File) {
	for first := true; ; first = false {
		if err := file.Save(testState); err != nil {
			panic(err)
		}
		if first {
			_, _ = os.Stdout.WriteString("saved\n")
		}
	}
}

// A process that is killed while it saves leaves a complete state, whichever moment the kill hits.
func TestKillWhileSavingLeavesACompleteState(t *testing.T) {
	random := rand.New(rand.NewPCG(killSeed, killSeed))
	path := filepath.Join(t.TempDir(), "handover")
	for range kills {
		process := exec.CommandContext(t.Context(), os.Args[0])
		process.Env = append(os.Environ(), savePathVariable+"="+path)
		output, err := process.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := process.Start(); err != nil {
			t.Fatal(err)
		}
		if _, err := bufio.NewReader(output).ReadString('\n'); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxSavingTime))))
		if err := process.Process.Kill(); err != nil {
			t.Fatal(err)
		}
		_ = process.Wait() // it was killed
		state, err := NewFile(path, testAgent, testMaxBytes).Load()
		if state == nil || err != nil {
			t.Fatalf("loaded %v with error %v", state, err)
		}
	}
}
