package handover

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"os"
)

const (
	// headFormat is the first line of a file: the version of the format, the length of the state in bytes, and its
	// checksum. The state follows as JSON.
	headFormat = "fernbeam-handover %d %d %08x\n"
	// formatVersion changes when an earlier version of the program could misunderstand a state.
	formatVersion = 1
	// maxHeadBytes is the greatest length of the first line.
	maxHeadBytes = 64
	// temporarySuffix is the suffix of the file that is written before it replaces the other one. Its name is fixed, so
	// that a process that is killed while it writes leaves at most one such file.
	temporarySuffix = ".new"
	fileMode        = 0o600
)

// checksums is the polynomial of the checksum, CRC-32C.
var checksums = crc32.MakeTable(crc32.Castagnoli)

// File is the file of an agent's state. One process at a time may save to it; others may load it meanwhile.
type File struct {
	path     string
	agent    Identity
	maxBytes int
	loaded   fs.FileInfo // of the file that LoadChanged has last read; nil if there was none
}

// NewFile returns the file at path for the state of an agent. A file of more than maxBytes is neither saved nor loaded.
func NewFile(path string, agent Identity, maxBytes int) *File {
	return &File{path: path, agent: agent, maxBytes: maxBytes}
}

// Save replaces the state in the file atomically. If that fails, it removes the file, as the state in it is no longer
// true. The file outlives its process but need not outlive the machine, so that it is not synced to a disk.
func (f *File) Save(state State) error {
	state.Agent = f.agent
	err := f.replace(&state)
	if err != nil {
		err = errors.Join(err, f.remove())
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// replace replaces the file by one with the given state.
func (f *File) replace(state *State) error {
	body, err := json.Marshal(state)
	if err != nil {
		return err
	}
	head := fmt.Sprintf(headFormat, formatVersion, len(body), crc32.Checksum(body, checksums))
	if size := len(head) + len(body); size > f.maxBytes {
		return fmt.Errorf("%d bytes, at most %d allowed: %w", size, f.maxBytes, ErrTooLarge)
	}
	temporary := f.path + temporarySuffix
	if err := write(temporary, []byte(head), body); err != nil {
		_ = os.Remove(temporary) // the first error counts
		return err
	}
	return os.Rename(temporary, f.path)
}

// write writes the parts of a file's text to path.
func write(path string, parts ...[]byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	for _, part := range parts {
		if _, err := file.Write(part); err != nil {
			return errors.Join(err, file.Close())
		}
	}
	return file.Close()
}

// remove removes the file if it exists.
func (f *File) remove() error {
	err := os.Remove(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

// Load returns the state in the file. It returns nil if there is no file, and an error if the file has no state of the
// agent that can be used.
func (f *File) Load() (*State, error) {
	text, err := f.read()
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	state, err := decode(text)
	if err == nil {
		err = state.check(f.agent)
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %s: %w", f.path, err)
	}
	return state, nil
}

// LoadChanged is like Load, but returns nil if the file has not been replaced since the last call.
func (f *File) LoadChanged() (*State, error) {
	info, err := os.Stat(f.path)
	if err != nil {
		info = nil // Load returns the error
	}
	if info != nil && f.loaded != nil && isSameFile(info, f.loaded) {
		return nil, nil
	}
	f.loaded = info
	return f.Load()
}

// isSameFile reports whether a file was neither replaced nor written to.
func isSameFile(now, before fs.FileInfo) bool {
	return os.SameFile(now, before) && now.ModTime().Equal(before.ModTime()) && now.Size() == before.Size()
}

// read returns the text of the file. It reads no more than a file may have.
func (f *File) read() ([]byte, error) {
	file, err := os.Open(f.path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // nothing was written
	text, err := io.ReadAll(io.LimitReader(file, int64(f.maxBytes)+1))
	if err != nil {
		return nil, err
	}
	if len(text) > f.maxBytes {
		return nil, fmt.Errorf("%s: more than %d bytes: %w", f.path, f.maxBytes, ErrTooLarge)
	}
	return text, nil
}

// decode returns the state in the text of a file.
func decode(text []byte) (*State, error) {
	end := bytes.IndexByte(text[:min(len(text), maxHeadBytes)], '\n')
	if end < 0 {
		return nil, ErrFormat
	}
	var version, length int
	var checksum uint32
	head, body := string(text[:end+1]), text[end+1:]
	if _, err := fmt.Sscanf(head, headFormat, &version, &length, &checksum); err != nil {
		return nil, ErrFormat
	}
	if version != formatVersion {
		return nil, fmt.Errorf("version %d, want %d: %w", version, formatVersion, ErrFormat)
	}
	if len(body) != length {
		return nil, fmt.Errorf("%d bytes, want %d: %w", len(body), length, ErrDamaged)
	}
	if crc32.Checksum(body, checksums) != checksum {
		return nil, fmt.Errorf("wrong checksum: %w", ErrDamaged)
	}
	state := new(State)
	if err := json.Unmarshal(body, state); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return state, nil
}
