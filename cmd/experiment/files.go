package main

import (
	"fmt"
	"os"

	"fernbeam.example/fernbeam/internal/experiment"
)

// openAppend opens a file to which records are added.
func openAppend(path string) (*os.File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
}

// readRecords reads the records of several files.
func readRecords(paths []string) (records []*experiment.Record, err error) {
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
