package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

const (
	// stdinName is the file name that stands for standard input.
	stdinName = "-"
	// maxInputBytes bounds the part of a settings file that is read. The service accepts at most 64 KiB.
	maxInputBytes = 1 << 20
)

// readInput reads a file, or the command's standard input if name is stdinName.
func readInput(cmd *cobra.Command, name string) ([]byte, error) {
	if name == stdinName {
		return readLimited(cmd.InOrStdin(), name)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // nothing was written
	return readLimited(file, name)
}

// readLimited reads at most maxInputBytes from input, which is called name in errors.
func readLimited(input io.Reader, name string) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(input, maxInputBytes))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return text, nil
}
