package main

import (
	"fmt"
	"os"
	"path/filepath"

	"fernbeam.example/fernbeam/internal/experiment"
)

// outputFileMode is the mode of the files that the command creates.
const outputFileMode = 0o644

// openAppend opens a file to which records or log lines are added.
func openAppend(path string) (*os.File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, outputFileMode)
}

// replaceFile writes a file anew, atomically: a reader finds the earlier text or the new one.
func replaceFile(path, text string) error {
	next := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+".new")
	if err := os.WriteFile(next, []byte(text), outputFileMode); err != nil {
		return err
	}
	if err := os.Rename(next, path); err != nil {
		_ = os.Remove(next) // the error to report is that of the rename
		return err
	}
	return nil
}

// readRecords reads the records of several files.
func readRecords(paths ...string) (records []*experiment.Record, err error) {
	for _, path := range paths {
		fromFile, err := readRecordFile(path)
		if err != nil {
			return nil, err
		}
		records = append(records, fromFile...)
	}
	return records, nil
}

// readRecordFile reads the records of one file.
func readRecordFile(path string) ([]*experiment.Record, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	records, err := experiment.ReadRecords(file)
	_ = file.Close() // it was only read
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return records, nil
}

// workDirectory creates a directory for the logs and configurations of a run: below parent, where it is kept, or, if
// parent is empty, a temporary one that the returned function removes.
func workDirectory(parent string) (directory string, remove func(), err error) {
	directory, err = os.MkdirTemp(parent, "experiment")
	if err != nil {
		return "", nil, err
	}
	if parent != "" {
		return directory, func() {}, nil
	}
	return directory, func() { _ = os.RemoveAll(directory) }, nil // the system cleans up what stays
}
