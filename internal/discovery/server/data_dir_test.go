package server

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// writeDataFormat creates a data directory whose format file has the given text, and returns its path.
func writeDataFormat(t *testing.T, format string) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, formatFile), []byte(format), dataFileMode); err != nil {
		t.Fatal(err)
	}
	return dir
}

// TestPrepareDataDirRejectsUnknownFormat checks that a data directory with a newer or an unreadable
// format is rejected and not changed.
func TestPrepareDataDirRejectsUnknownFormat(t *testing.T) {
	for _, format := range []string{"3", "", "two"} {
		dir := writeDataFormat(t, format+"\n")
		var rejected *DataFormatError
		if err := prepareDataDir(dir); !errors.As(err, &rejected) || rejected.Dir != dir || rejected.Format != format {
			t.Errorf("format %q: %v, want a DataFormatError", format, err)
			continue
		}
		want := "data_dir " + dir + `: format "` + format + `", this program reads 2 or older`
		if rejected.Error() != want {
			t.Errorf("%q, want %q", rejected.Error(), want)
		}
		checkDataFormat(t, dir, format+"\n")
	}
}

// TestPrepareDataDirWritesFormat checks that this program's format is written to a new data directory
// and to one of an older format.
func TestPrepareDataDirWritesFormat(t *testing.T) {
	for _, dir := range []string{
		filepath.Join(t.TempDir(), "new"),
		writeDataFormat(t, "1\n"),
		writeDataFormat(t, "2\n"),
	} {
		if err := prepareDataDir(dir); err != nil {
			t.Errorf("%s: %v", dir, err)
			continue
		}
		checkDataFormat(t, dir, "2\n")
	}
}

// checkDataFormat checks the content of a data directory's format file.
func checkDataFormat(t *testing.T, dir, want string) {
	t.Helper()
	if text, err := os.ReadFile(filepath.Join(dir, formatFile)); err != nil || string(text) != want {
		t.Errorf("format of %s: %q (%v), want %q", dir, text, err, want)
	}
}
