package main

import (
	"fmt"
	"os"

	"fernbeam.example/fernbeam/internal/membershiptest"
)

// recordMode is the file mode of a new record.
const recordMode = 0o644

// openRecord opens a record for appending runs and creates it if needed.
func openRecord(path string) (*os.File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, recordMode)
}

// readRecords reads the runs of several records into one journal.
func readRecords(paths []string) (*membershiptest.Journal, error) {
	journal := new(membershiptest.Journal)
	for _, path := range paths {
		if err := readRecord(journal, path); err != nil {
			return nil, err
		}
	}
	return journal, nil
}

// readRecord adds the runs of a record to a journal.
func readRecord(journal *membershiptest.Journal, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // opened only for reading
	if err := journal.Read(file); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
