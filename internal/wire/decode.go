package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"fernbeam.example/fernbeam/internal/balancer"
)

const (
	// headerSize is the size of a frame's header, in bytes: the number of records and the length of the body.
	headerSize = 8
	// clockSize is the size of the clock reading at the start of the body, in bytes.
	clockSize = 8
	// maxBody is the largest body that is accepted, in bytes. Valid batches are smaller.
	maxBody = 1 << 30
	// readStep is the number of bytes of a body that are read before more memory is allocated.
	readStep = 1 << 20
	// maxTables is the number of endpoint tables.
	maxTables = 16
	// retryFlag is the bit in a request's flags that marks a retry by the client.
	retryFlag = 2
)

// RecordKind is the kind of a record in a batch.
type RecordKind uint8

// The kinds of records, each with the fields of Record that it sets.
const (
	Boot   RecordKind = iota + 1 // Instance, Seed, Settings
	Killed                       // Instance
	Event                        // Instance, Event
)

// Record is a decoded event record. A reference to an endpoint table is resolved to its endpoints.
type Record struct {
	Kind     RecordKind
	Instance uint32
	Seed     uint64
	Settings []byte // JSON
	Event    balancer.Event
}

// Decoder reads batches from a stream. It keeps the endpoint tables, which belong to the process: all
// instances share them and only read them.
type Decoder struct {
	reader io.Reader
	body   []byte
	tables [maxTables][]balancer.Endpoint
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{reader: r} }

// Next reads one batch and calls handle for each of its records in order, with the batch's clock in
// milliseconds. It returns io.EOF if the input ends before a batch begins, and stops at the first error
// of handle.
func (d *Decoder) Next(handle func(now float64, rec *Record) error) error {
	count, err := d.readBatch()
	if err != nil {
		return err
	}
	clock := fieldReader{rest: d.body}
	now := clock.float64()
	if math.IsNaN(now) || math.IsInf(now, 0) {
		return errors.New("batch header: clock: not a finite number")
	}
	records := d.body[clockSize : clockSize+count*EventSize]
	tail := d.body[clockSize+len(records):]
	var rec Record
	for i := range count {
		raw := records[i*EventSize : (i+1)*EventSize]
		if raw[0] == codeEndpointTable {
			if err := d.decodeTable(raw, tail); err != nil {
				return fmt.Errorf("record %d: %w", i, err)
			}
			continue
		}
		rec, err = d.decode(raw, tail)
		if err != nil {
			return fmt.Errorf("record %d: %w", i, err)
		}
		if err := handle(now, &rec); err != nil {
			return err
		}
	}
	return nil
}

// readBatch reads the header and the body of a batch and returns the number of records.
func (d *Decoder) readBatch() (count int, err error) {
	var header [headerSize]byte
	_, err = io.ReadFull(d.reader, header[:])
	if errors.Is(err, io.EOF) {
		return 0, io.EOF
	}
	if err != nil {
		return 0, fmt.Errorf("batch header: truncated: %w", err)
	}
	records := binary.BigEndian.Uint32(header[:4])
	size := binary.BigEndian.Uint32(header[4:])
	if size < clockSize || size > maxBody {
		return 0, fmt.Errorf("batch header: length: %d is out of range", size)
	}
	if uint64(records)*EventSize > uint64(size)-clockSize {
		return 0, fmt.Errorf("batch header: number of records: %d do not fit in %d bytes", records, size)
	}
	return int(records), d.readBody(int(size))
}

// readBody reads size bytes in steps, so that a false length allocates at most about twice the number of
// bytes that arrive.
func (d *Decoder) readBody(size int) error {
	d.body = d.body[:0]
	for len(d.body) < size {
		start := len(d.body)
		end := start + min(readStep, size-start)
		if cap(d.body) < end {
			d.body = append(d.body, make([]byte, end-start)...)
		}
		d.body = d.body[:end]
		_, err := io.ReadFull(d.reader, d.body[start:])
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF // io.EOF is only returned before a batch
		}
		if err != nil {
			return fmt.Errorf("batch: truncated at %d of %d bytes: %w", start, size, err)
		}
	}
	return nil
}
