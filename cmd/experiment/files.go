package main

import (
	"fmt"
	"os"
	"path/filepath"

	"fernbeam.example/fernbeam/internal/experiment"
)

// outputFileMode is the permission mode of files that the command creates.
const outputFileMode = 0o644

// openAppend opens a file for appending and creates it if necessary.
func openAppend(path string) (*os.File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, outputFileMode)
}

// replaceFile atomically replaces the contents of a file: a reader sees either the old or the new text.
func replaceFile(path, text string) error {
	next := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+".new")
	if err := os.WriteFile(next, []byte(text), outputFileMode); err != nil {
		return err
	}
	if err := os.Rename(next, path); err != nil {
		_ = os.Remove(next) // the error of the rename is returned
		return err
	}
	return nil
}

// readRecords returns the records in several files.
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

// readRecordFile returns the records in a file.
func readRecordFile(path string) ([]*experiment.Record, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	records, err := experiment.ReadRecords(file)
	_ = file.Close() // the file was only read
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return records, nil
}

// workDirectory creates a directory for logs, configurations and built programs. If parent is not empty, the
// directory is created in parent and kept. Otherwise it is a temporary directory, which the returned function
// removes.
func workDirectory(parent string) (directory string, remove func(), err error) {
	directory, err = os.MkdirTemp(parent, "experiment")
	if err != nil {
		return "", nil, err
	}
	if parent != "" {
		return directory, func() {}, nil
	}
	return directory, func() { _ = os.RemoveAll(directory) }, nil // the system cleans up leftover files
}
