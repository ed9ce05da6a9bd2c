package capacity

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeFile writes a file to a new temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

// requireOneLineError fails the test unless the error is one line that contains all the words.
func requireOneLineError(t *testing.T, err error, want ...string) {
	t.Helper()
	if err == nil {
		t.Errorf("no error, want one that contains %q", want)
		return
	}
	if strings.Contains(err.Error(), "\n") {
		t.Errorf("error has more than one line: %q", err)
	}
	for _, w := range want {
		if !strings.Contains(err.Error(), w) {
			t.Errorf("error %q does not contain %q", err, w)
		}
	}
}
