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
	// dataFormat is the version of the data directory's format that this program writes. It reads this
	// version and older ones. Format 2 added settings to the log and the snapshots. A program that
	// supports only format 1 would drop these settings.
	dataFormat = 2
	// formatFile is the file in the data directory that contains the format version.
	formatFile = "FORMAT"
	// dataDirMode and dataFileMode are the permissions of the data directory and of the files in it.
	dataDirMode  = 0o755
	dataFileMode = 0o644
)

// DataFormatError reports a data directory whose format this program does not support.
type DataFormatError struct {
	Dir    string
	Format string // content of the directory's format file
}

// Error returns the directory, its format and the supported formats.
func (e *DataFormatError) Error() string {
	return fmt.Sprintf("data_dir %s: format %q, this program reads %d or older", e.Dir, e.Format, dataFormat)
}

// prepareDataDir creates the data directory or, if it exists, checks that its format is supported. It
// then records this program's format in it.
func prepareDataDir(dir string) error {
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

// writeFormat replaces the format file atomically, because an empty file would be rejected at the next
// start.
func writeFormat(path string) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, []byte(strconv.Itoa(dataFormat)+"\n"), dataFileMode); err != nil {
		return fmt.Errorf("data_dir: %w", err)
	}
	return os.Rename(temporary, path)
}
