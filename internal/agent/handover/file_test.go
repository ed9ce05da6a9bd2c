package handover

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

const testMaxBytes = 4096

// testAgent is the agent whose state is handed over.
var testAgent = Identity{Name: "n1", Listen: "127.0.0.1:1"}

// testState is a state of testAgent.
var testState = State{
	Agent: testAgent,
	List: &List{
		Origin:  Origin{Sources: []string{"127.0.0.1:7400"}, ConfirmedMs: 1790000000000},
		Version: 42,
		Servers: []endpoint.Endpoint{
			{ID: "s-1", Addr: "127.0.0.1:2", Zone: "east", Kind: "big", State: endpoint.StateUp, Weight: 1.5, StartedMs: 17},
			{ID: "s-2", Addr: "127.0.0.1:3", Zone: "west", Kind: "big", State: endpoint.StateDraining, Cell: 3},
		},
	},
}

// newTestFile returns the file of testAgent in a directory of the test.
func newTestFile(t *testing.T) *File {
	t.Helper()
	return NewFile(filepath.Join(t.TempDir(), "handover"), testAgent, testMaxBytes)
}

// saved returns the text of a file with testState.
func saved(t *testing.T) string {
	t.Helper()
	file := newTestFile(t)
	if err := file.Save(testState); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(file.path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// wantLoadError checks that a file with the given text is not used, for the given reason and with a single line.
func wantLoadError(t *testing.T, text string, want error) {
	t.Helper()
	file := newTestFile(t)
	if err := os.WriteFile(file.path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	state, err := file.Load()
	if state != nil || !errors.Is(err, want) || strings.Contains(err.Error(), "\n") {
		t.Errorf("%.80q: loaded %v with error %v, want one line with %v", text, state, err, want)
	}
}

func TestStateIsLoadedAsSaved(t *testing.T) {
	for _, state := range []State{testState, {Agent: testAgent}} {
		file := newTestFile(t)
		if err := file.Save(state); err != nil {
			t.Fatal(err)
		}
		loaded, err := file.Load()
		if err != nil || !reflect.DeepEqual(*loaded, state) {
			t.Errorf("saved %+v, loaded %+v with error %v", state, loaded, err)
		}
	}
}

func TestMissingFileIsNoError(t *testing.T) {
	if state, err := newTestFile(t).Load(); state != nil || err != nil {
		t.Errorf("loaded %v with error %v", state, err)
	}
}

// A file that was cut off anywhere, or in which any byte differs, is not used.
func TestDamagedFileIsNotUsed(t *testing.T) {
	text := saved(t)
	for length := range len(text) {
		file := newTestFile(t)
		if err := os.WriteFile(file.path, []byte(text[:length]), 0o600); err != nil {
			t.Fatal(err)
		}
		if state, err := file.Load(); state != nil || err == nil {
			t.Errorf("cut off after %d bytes: loaded %v with error %v", length, state, err)
		}
	}
	for i := range len(text) {
		changed := []byte(text)
		changed[i] ^= 1
		file := newTestFile(t)
		if err := os.WriteFile(file.path, changed, 0o600); err != nil {
			t.Fatal(err)
		}
		if state, err := file.Load(); err == nil {
			t.Errorf("byte %d changed: loaded %v", i, state)
		}
	}
	wantLoadError(t, text[:len(text)-1], ErrDamaged)
	wantLoadError(t, text+"\n", ErrDamaged)
}

func TestFileInAnotherFormatIsNotUsed(t *testing.T) {
	text := saved(t)
	for _, other := range []string{
		"", "\n", "null", "{}", strings.Repeat("x", maxHeadBytes+1), "fernbeam-handover\n", "fernbeam-handover 1 2\n{}",
		strings.Replace(text, "handover 1 ", "handover 0 ", 1),
		strings.Replace(text, "handover 1 ", "handover 2 ", 1),
	} {
		wantLoadError(t, other, ErrFormat)
	}
}

func TestStateOfAnotherAgentIsNotUsed(t *testing.T) {
	for _, other := range []Identity{
		{Name: "n2", Listen: testAgent.Listen},
		{Name: testAgent.Name, Listen: "127.0.0.1:9"},
	} {
		file := newTestFile(t)
		if err := NewFile(file.path, other, testMaxBytes).Save(testState); err != nil {
			t.Fatal(err)
		}
		if state, err := file.Load(); state != nil || !errors.Is(err, ErrForeign) {
			t.Errorf("state of %v: loaded %v with error %v", other, state, err)
		}
	}
}

func TestContradictoryStateIsNotUsed(t *testing.T) {
	server := endpoint.Endpoint{ID: "s-1"}
	for name, list := range map[string]List{
		"no source":  {Servers: []endpoint.Endpoint{server}},
		"no id":      {Origin: testState.List.Origin, Servers: []endpoint.Endpoint{{}}},
		"same twice": {Origin: testState.List.Origin, Servers: []endpoint.Endpoint{server, server}},
	} {
		file := newTestFile(t)
		if err := file.Save(State{List: &list}); err != nil {
			t.Fatal(err)
		}
		if state, err := file.Load(); state != nil || !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: loaded %v with error %v", name, state, err)
		}
	}
}

// A state above the bound is not saved, and the state before it, which is no longer true, is not left either.
func TestTooLargeStateIsNotSaved(t *testing.T) {
	file := newTestFile(t)
	if err := file.Save(testState); err != nil {
		t.Fatal(err)
	}
	large := List{Origin: testState.List.Origin}
	for i := range testMaxBytes {
		large.Servers = append(large.Servers, endpoint.Endpoint{ID: fmt.Sprint("s-", i)})
	}
	if err := file.Save(State{List: &large}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("saved with error %v", err)
	}
	if state, err := file.Load(); state != nil || err != nil {
		t.Errorf("loaded %v with error %v, want no state", state, err)
	}
	wantLoadError(t, saved(t)+strings.Repeat(" ", testMaxBytes), ErrTooLarge)
}

// A failed save is reported and leaves no outdated state, and a process that was killed while it wrote leaves nothing
// that hinders the next one.
func TestSaveAfterFailures(t *testing.T) {
	file := newTestFile(t)
	temporary := file.path + temporarySuffix
	if err := file.Save(testState); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(temporary, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(temporary, "x"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := file.Save(testState); err == nil {
		t.Error("no error although the file can't be written")
	}
	if state, err := file.Load(); state != nil || err != nil {
		t.Errorf("loaded %v with error %v, want no state", state, err)
	}
	if err := os.RemoveAll(temporary); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(temporary, []byte("half a st"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := file.Save(testState); err != nil {
		t.Errorf("beside an unfinished file: %v", err)
	}
	if state, err := file.Load(); state == nil || err != nil {
		t.Errorf("loaded %v with error %v", state, err)
	}
}

// LoadChanged returns each saved state once.
func TestLoadChanged(t *testing.T) {
	file := newTestFile(t)
	saver := NewFile(file.path, testAgent, testMaxBytes)
	wantLoaded := func(want bool) {
		t.Helper()
		state, err := file.LoadChanged()
		if err != nil || (state != nil) != want {
			t.Errorf("loaded %v with error %v, want a state: %v", state, err, want)
		}
	}
	wantLoaded(false)
	for range 2 {
		if err := saver.Save(testState); err != nil {
			t.Fatal(err)
		}
		wantLoaded(true)
		wantLoaded(false)
		time.Sleep(10 * time.Millisecond) // so that the times of two files differ
	}
}

func TestListAge(t *testing.T) {
	confirmed := time.UnixMilli(testState.List.ConfirmedMs)
	for age, want := range map[time.Duration]error{
		0: nil, MaxListAge: nil, -time.Second: nil,
		MaxListAge + time.Second: ErrOutdated, -MaxListAge - time.Second: ErrOutdated,
	} {
		if err := testState.List.CheckAge(confirmed.Add(age)); !errors.Is(err, want) {
			t.Errorf("age %v: error %v, want %v", age, err, want)
		}
	}
}

// A text that is not a saved state is never taken for one, and never ends the process.
func FuzzDecode(f *testing.F) {
	f.Add("fernbeam-handover 1 2 00000000\n{}")
	f.Add("fernbeam-handover 1 -1 00000000\n")
	f.Fuzz(func(t *testing.T, text string) {
		state, err := decode([]byte(text))
		if (state == nil) == (err == nil) {
			t.Errorf("%q: state %v with error %v", text, state, err)
		}
	})
}
