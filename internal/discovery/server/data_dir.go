package server

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

const (
	// dataFormat is the format of the data directory that this program writes. It reads this one
	// and older ones. Format 2 has settings in the log and in snapshots; a program that knows only
	// format 1 would drop them.
	dataFormat = 2
	// formatFile is the file of the data directory that has the number of its format.
	formatFile = "FORMAT"
	// dataDirMode and dataFileMode are the permissions of the data directory and of the files in it.
	dataDirMode  = 0o755
	dataFileMode = 0o644
)

// DataFormatError says that a data directory has a format that this program does not read.
type DataFormatError struct {
	Dir    string
	Format string // as the directory names it
}

// Error names the directory, its format and the formats that this program reads.
func (e *DataFormatError) Error() string {
	return fmt.Sprintf("data_dir %s: format %q, this program reads %d or older", e.Dir, e.Format, dataFormat)
}

// claimDataDir creates the data directory, or checks that this program can read its format, and
// marks it as being of this program's format.
func claimDataDir(dir string) error {
	if err := os.MkdirAll(dir, dataDirMode); err != nil {
		return fmt.Errorf("data_dir: %w", err)
	}
	path := filepath.Join(dir, formatFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return writeFormat(path)
	}
	if err != nil {
		return fmt.Errorf("data_dir: %w", err)
	}
	number := strings.TrimSpace(string(text))
	format, err := strconv.Atoi(number)
	if err != nil || format > dataFormat {
		return &DataFormatError{Dir: dir, Format: number}
	}
	if format == dataFormat {
		return nil
	}
	return writeFormat(path)
}

// writeFormat replaces the file atomically, as an empty one would be rejected at the next start.
func writeFormat(path string) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, []byte(strconv.Itoa(dataFormat)+"\n"), dataFileMode); err != nil {
		return fmt.Errorf("data_dir: %w", err)
	}
	return os.Rename(temporary, path)
}
