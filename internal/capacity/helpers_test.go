package capacity

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

// requireOneLineError fails unless an error is one line that holds all the words.
func requireOneLineError(t *testing.T, err error, words ...string) {
	t.Helper()
	if err == nil {
		t.Errorf("no error; want one that names %q", words)
		return
	}
	if strings.Contains(err.Error(), "\n") {
		t.Errorf("more than one line: %q", err)
	}
	for _, w := range words {
		if !strings.Contains(err.Error(), w) {
			t.Errorf("%q does not name %q", err, w)
		}
	}
}
