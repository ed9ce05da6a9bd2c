package wire

import (
	"fmt"

	"fernbeam.example/fernbeam/internal/balancer"
)

// tailSpan is the position of a field's value in the tail of a frame.
type tailSpan struct {
	offset uint32 // in bytes
	length uint32 // in units that depend on the field
}

// resolve returns the bytes of the span. unit is the size of a unit of its length, in bytes; field is the
// field's name in error messages.
func (s tailSpan) resolve(field string, tail []byte, unit int) ([]byte, error) {
	end := uint64(s.offset) + uint64(s.length)*uint64(unit)
	if end > uint64(len(tail)) {
		return nil, fmt.Errorf("%s: offset %d and length %d exceed the tail's %d bytes",
			field, s.offset, s.length, len(tail))
	}
	return tail[s.offset:end], nil
}

// decode decodes a record of any code except codeEndpointTable.
func (d *Decoder) decode(raw, tail []byte) (Record, error) {
	fields := fieldReader{rest: raw}
	code := fields.uint8()
	rec := Record{Kind: Event, Instance: fields.uint32()}
	event := &rec.Event
	var err error
	switch code {
	case codeBoot:
		rec.Kind = Boot
		rec.Seed = fields.uint64()
		rec.Settings, err = fields.span().resolve("boot: settings", tail, 1)
	case codeKilled:
		rec.Kind = Killed
	case codeList:
		err = d.decodeList(&fields, event)
	case codeRequest:
		decodeRequest(&fields, event)
	case codeAttemptDone:
		err = decodeAttemptDone(&fields, event)
	case codeResponseStarted:
		decodeResponseStarted(&fields, event)
	case codeClientGone:
		event.Kind = balancer.EventClientGone
		event.Request = fields.requestID()
	case codeHealthCheckDone:
		event.Kind = balancer.EventHealthCheckDone
		event.Server = fields.address()
		event.Status = fields.status()
		event.LatencyMs = fields.float64()
	case codeTimer:
		event.Kind = balancer.EventTimer
		event.Token = fields.uint32()
	case codePeerMessage:
		event.Kind = balancer.EventPeerMessage
		fields.skip(uint32Size)                                   // the sender
		_, err = fields.span().resolve("peer_data: msg", tail, 1) // validated, but not used by the balancer
	default:
		err = fmt.Errorf("code: unknown event %d", code)
	}
	return rec, err
}

// decodeRequest decodes the arrival of a request.
func decodeRequest(fields *fieldReader, event *balancer.Event) {
	event.Kind = balancer.EventRequest
	event.Request = fields.requestID()
	event.Class = int(fields.uint16())
	fields.skip(uint32Size) // the tenant
	event.Key = fields.uint64()
	event.RemainingMs = fields.float64()
	fields.skip(uint64Size) // the expected work
	event.Retry = fields.uint8()&retryFlag != 0
}

// decodeResponseStarted decodes the start of a streamed response.
func decodeResponseStarted(fields *fieldReader, event *balancer.Event) {
	event.Kind = balancer.EventResponseStarted
	event.Request = fields.requestID()
	event.Server = fields.address()
	event.LatencyMs = fields.float64()
	event.Attempt = int(fields.uint16())
}

// decodeList decodes a response of discovery and resolves the endpoint table that it refers to.
func (d *Decoder) decodeList(fields *fieldReader, event *balancer.Event) error {
	event.Kind = balancer.EventList
	update := fields.uint8()
	event.ListUpdate = balancer.ListUpdate(update)
	if update > uint8(balancer.ListFailed) {
		return fmt.Errorf("targets: mode: unknown value %d", update)
	}
	if event.ListUpdate == balancer.ListFailed {
		return nil
	}
	fields.skip(uint32Size) // the list's version
	table := fields.uint32()
	if table >= maxTables {
		return fmt.Errorf("targets: table: %d is out of range", table)
	}
	event.Endpoints = d.tables[table]
	return nil
}

// decodeAttemptDone decodes the end of an attempt.
func decodeAttemptDone(fields *fieldReader, event *balancer.Event) error {
	event.Kind = balancer.EventAttemptDone
	event.Request = fields.requestID()
	event.Attempt = int(fields.uint16())
	event.Server = fields.address()
	event.Status = fields.status()
	event.LatencyMs = fields.float64()
	event.RequestDone = fields.uint8() != 0
	isError := event.Status >= balancer.StatusError && event.Status <= balancer.StatusUnsent
	if event.Status != balancer.StatusOK && !isError {
		return fmt.Errorf("verdict: ending: unknown value %d", event.Status)
	}
	return nil
}

// decodeTable replaces an endpoint table. It allocates a new slice because earlier events may still refer
// to the old one.
func (d *Decoder) decodeTable(raw, tail []byte) error {
	fields := fieldReader{rest: raw}
	fields.skip(1) // the code
	table := fields.uint32()
	if table >= maxTables {
		return fmt.Errorf("pool: table: %d is out of range", table)
	}
	rows, err := fields.span().resolve("pool: hosts", tail, endpointSize)
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
	fields := fieldReader{rest: raw}
	var e balancer.Endpoint
	e.Zone = int(fields.uint16())
	e.StartedMs = fields.float64()
	state := fields.uint8()
	if state > uint8(balancer.Removed) {
		return balancer.Endpoint{}, fmt.Errorf("pool: health: unknown value %d", state)
	}
	e.State = balancer.EndpointState(state)
	e.Server = fields.address()
	e.Weight = float64(fields.float32())
	e.Cell = int(fields.uint16())
	e.Kind = int(fields.uint8())
	return e, nil
}
