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
	// headerSize is the size of the number of records and the length of the body, in bytes.
	headerSize = 8
	// clockSize is the size of the clock at the beginning of the body, in bytes.
	clockSize = 8
	// maxBody is more than any valid batch has, in bytes.
	maxBody = 1 << 30
	// readStep is how much of a body is read before more memory is allocated, in bytes.
	readStep = 1 << 20
	// maxTables is the number of endpoint tables.
	maxTables = 16
	// retryFlag is set in the flags of a request that the client sends again.
	retryFlag = 2
)

// RecordKind says what a record of a batch is about.
type RecordKind uint8

// The kinds of records, with the fields of Record that they set.
const (
	Boot   RecordKind = iota + 1 // Instance, Seed, Settings
	Killed                       // Instance
	Event                        // Instance, Event
)

// Record is one event record of a batch, with its endpoint table resolved.
type Record struct {
	Kind     RecordKind
	Instance uint32
	Seed     uint64
	Settings []byte // JSON
	Event    balancer.Event
}

// Decoder reads batches from a stream. It has the endpoint tables, which belong to the process and are
// shared, read-only, by all instances.
type Decoder struct {
	reader io.Reader
	body   []byte
	tables [maxTables][]balancer.Endpoint
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{reader: r} }

// Next reads one batch and calls handle for each record in order, with the batch's clock in ms. It
// returns io.EOF at the end of input before a batch.
func (d *Decoder) Next(handle func(now float64, rec *Record) error) error {
	count, err := d.readBatch()
	if err != nil {
		return err
	}
	now := getFloat64(d.body)
	if math.IsNaN(now) || math.IsInf(now, 0) {
		return errors.New("batch header: clock: not a number")
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

// readBatch reads the header and the body of a batch, and returns its number of records.
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
		return 0, fmt.Errorf("batch header: number of records: %d do not fit into %d bytes", records, size)
	}
	return int(records), d.readBody(int(size))
}

// readBody reads size bytes in steps, so that a false length allocates no more than about twice what
// arrives.
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
			err = io.ErrUnexpectedEOF // only the end before a batch is io.EOF
		}
		if err != nil {
			return fmt.Errorf("batch: truncated at %d of %d bytes: %w", start, size, err)
		}
	}
	return nil
}

// tailSpan resolves an (offset, length) field, whose length is in units of a number of bytes.
func tailSpan(field string, raw, tail []byte, unit int) ([]byte, error) {
	offset := uint64(binary.BigEndian.Uint32(raw))
	length := uint64(binary.BigEndian.Uint32(raw[4:]))
	end := offset + length*uint64(unit)
	if end > uint64(len(tail)) {
		return nil, fmt.Errorf("%s: offset %d and length %d pass the tail's %d bytes", field, offset, length, len(tail))
	}
	return tail[offset:end], nil
}

// decode decodes one record that is not an endpoint table.
func (d *Decoder) decode(raw, tail []byte) (Record, error) {
	be := binary.BigEndian
	rec := Record{Kind: Event, Instance: be.Uint32(raw[1:])}
	event := &rec.Event
	var err error
	switch raw[0] {
	case codeBoot:
		rec.Kind = Boot
		rec.Seed = be.Uint64(raw[5:])
		rec.Settings, err = tailSpan("boot: settings", raw[13:], tail, 1)
	case codeKilled:
		rec.Kind = Killed
	case codeList:
		err = d.decodeList(raw, event)
	case codeRequest:
		event.Kind = balancer.EventRequest
		event.Request = balancer.RequestID(be.Uint32(raw[5:]))
		event.Class = int(be.Uint16(raw[9:]))
		event.Key = be.Uint64(raw[15:])
		event.RemainingMs = getFloat64(raw[23:])
		event.Retry = raw[39]&retryFlag != 0
	case codeAttemptDone:
		err = decodeAttemptDone(raw, event)
	case codeResponseStarted:
		event.Kind = balancer.EventResponseStarted
		event.Request = balancer.RequestID(be.Uint32(raw[5:]))
		event.Server = balancer.Addr(raw[9:15])
		event.LatencyMs = getFloat64(raw[15:])
		event.Attempt = int(be.Uint16(raw[23:]))
	case codeClientGone:
		event.Kind = balancer.EventClientGone
		event.Request = balancer.RequestID(be.Uint32(raw[5:]))
	case codeHealthCheckDone:
		event.Kind = balancer.EventHealthCheckDone
		event.Server = balancer.Addr(raw[5:11])
		event.Status = balancer.Status(be.Uint16(raw[11:]))
		event.LatencyMs = getFloat64(raw[13:])
	case codeTimer:
		event.Kind = balancer.EventTimer
		event.Token = be.Uint32(raw[5:])
	case codePeerMessage:
		event.Kind = balancer.EventPeerMessage
		_, err = tailSpan("peer_data: msg", raw[9:], tail, 1) // checked, but not used by the balancer
	default:
		err = fmt.Errorf("code: unknown event %d", raw[0])
	}
	return rec, err
}

// decodeList decodes an answer of discovery, with the endpoint table that it names.
func (d *Decoder) decodeList(raw []byte, event *balancer.Event) error {
	event.Kind = balancer.EventList
	event.ListUpdate = balancer.ListUpdate(raw[5])
	if raw[5] > uint8(balancer.ListFailed) {
		return fmt.Errorf("targets: mode: unknown value %d", raw[5])
	}
	if event.ListUpdate == balancer.ListFailed {
		return nil
	}
	table := binary.BigEndian.Uint32(raw[10:])
	if table >= maxTables {
		return fmt.Errorf("targets: table: %d is out of range", table)
	}
	event.Endpoints = d.tables[table]
	return nil
}

// decodeAttemptDone decodes the end of an attempt.
func decodeAttemptDone(raw []byte, event *balancer.Event) error {
	be := binary.BigEndian
	event.Kind = balancer.EventAttemptDone
	event.Request = balancer.RequestID(be.Uint32(raw[5:]))
	event.Attempt = int(be.Uint16(raw[9:]))
	event.Server = balancer.Addr(raw[11:17])
	event.Status = balancer.Status(be.Uint16(raw[17:]))
	event.LatencyMs = getFloat64(raw[19:])
	event.RequestDone = raw[27] != 0
	isError := event.Status >= balancer.StatusError && event.Status <= balancer.StatusUnsent
	if event.Status != balancer.StatusOK && !isError {
		return fmt.Errorf("verdict: ending: unknown value %d", event.Status)
	}
	return nil
}

// decodeTable replaces an endpoint table. The slice is new: events with the old table still refer to
// it.
func (d *Decoder) decodeTable(raw, tail []byte) error {
	table := binary.BigEndian.Uint32(raw[1:])
	if table >= maxTables {
		return fmt.Errorf("pool: table: %d is out of range", table)
	}
	rows, err := tailSpan("pool: hosts", raw[5:], tail, endpointSize)
	if err != nil {
		return err
	}
	endpoints := make([]balancer.Endpoint, 0, len(rows)/endpointSize)
	for ; len(rows) > 0; rows = rows[endpointSize:] {
		e, err := decodeEndpoint(rows)
		if err != nil {
			return err
		}
		endpoints = append(endpoints, e)
	}
	d.tables[table] = endpoints
	return nil
}

// decodeEndpoint decodes the first row of an endpoint table.
func decodeEndpoint(raw []byte) (balancer.Endpoint, error) {
	be := binary.BigEndian
	if raw[10] > uint8(balancer.Removed) {
		return balancer.Endpoint{}, fmt.Errorf("pool: health: unknown value %d", raw[10])
	}
	return balancer.Endpoint{
		Zone:      int(be.Uint16(raw)),
		StartedMs: getFloat64(raw[2:]),
		State:     balancer.EndpointState(raw[10]),
		Server:    balancer.Addr(raw[11:17]),
		Weight:    float64(math.Float32frombits(be.Uint32(raw[17:]))),
		Cell:      int(be.Uint16(raw[21:])),
		Kind:      int(raw[23]),
	}, nil
}
