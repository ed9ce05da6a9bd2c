package server

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// writeDataFormat returns a data directory that names a format.
func writeDataFormat(t *testing.T, format string) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, formatFile), []byte(format), dataFileMode); err != nil {
		t.Fatal(err)
	}
	return dir
}

// TestRejectsUnknownDataFormat: a directory of a newer format, or of none that can be read, is rejected and left
// as it is.
func TestRejectsUnknownDataFormat(t *testing.T) {
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

// TestClaimsDataDirectory: a new directory and one of an older format are marked with this program's format.
func TestClaimsDataDirectory(t *testing.T) {
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

// checkDataFormat checks the text of a data directory's format file.
func checkDataFormat(t *testing.T, dir, want string) {
	t.Helper()
	if text, err := os.ReadFile(filepath.Join(dir, formatFile)); err != nil || string(text) != want {
		t.Errorf("the format of %s is %q (%v), want %q", dir, text, err, want)
	}
}
