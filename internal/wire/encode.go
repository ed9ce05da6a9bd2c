package wire

import (
	"encoding/binary"
	"io"

	"fernbeam.example/fernbeam/internal/balancer"
)

// watchStart is the value in a codeWatchList record that starts the watch.
const watchStart = 1

// Encoder builds a reply frame. The zero value is an empty reply.
type Encoder struct {
	count   uint32
	records []byte
	tail    []byte // texts of the records
}

// Reset starts a new reply.
func (e *Encoder) Reset() {
	e.count = 0
	e.records = e.records[:0]
	e.tail = e.tail[:0]
}

// appendRecord appends a zero-filled record with a code and an instance, and returns the writer of its
// remaining fields.
func (e *Encoder) appendRecord(code uint8, instance uint32) fieldWriter {
	start := len(e.records)
	e.records = append(e.records, make([]byte, ActionSize)...)
	e.count++
	fields := fieldWriter{rest: e.records[start:]}
	fields.uint8(code)
	fields.uint32(instance)
	return fields
}

// appendText appends a record that has a text in the tail.
func (e *Encoder) appendText(code uint8, instance uint32, text string) {
	fields := e.appendRecord(code, instance)
	fields.uint32(uint32(len(e.tail)))
	fields.uint32(uint32(len(text)))
	e.tail = append(e.tail, text...)
}

// Crash appends the record that reports a failure of an instance's decision code.
func (e *Encoder) Crash(instance uint32, text string) { e.appendText(codeCrash, instance, text) }

// Add appends the record of an instance's action.
func (e *Encoder) Add(instance uint32, a *balancer.Action) {
	switch a.Kind {
	case balancer.ActionForward:
		fields := e.appendRecord(codeForward, instance)
		fields.requestID(a.Request)
		fields.address(a.Server)
		fields.float64(a.Ms)
	case balancer.ActionCancelAttempt:
		fields := e.appendRecord(codeCancelAttempt, instance)
		fields.requestID(a.Request)
		fields.uint16(uint16(a.Attempt))
	case balancer.ActionReject:
		fields := e.appendRecord(codeReject, instance)
		fields.requestID(a.Request)
		fields.float64(a.Ms)
	case balancer.ActionFail:
		fields := e.appendRecord(codeFail, instance)
		fields.requestID(a.Request)
	case balancer.ActionHealthCheck:
		fields := e.appendRecord(codeHealthCheck, instance)
		fields.address(a.Server)
	case balancer.ActionSetTimer:
		fields := e.appendRecord(codeSetTimer, instance)
		fields.float64(a.Ms)
		fields.uint32(a.Token)
	case balancer.ActionWatchList:
		fields := e.appendRecord(codeWatchList, instance)
		fields.uint8(watchStart)
	case balancer.ActionFetchList:
		e.appendRecord(codeFetchList, instance)
	case balancer.ActionCloseIdle:
		fields := e.appendRecord(codeCloseIdle, instance)
		fields.address(a.Server)
	case balancer.ActionLog:
		e.appendText(codeLog, instance, a.Text)
	}
}

// WriteTo implements io.WriterTo. It writes the reply frame to w.
func (e *Encoder) WriteTo(w io.Writer) (int64, error) {
	var header [headerSize]byte
	binary.BigEndian.PutUint32(header[:], e.count)
	binary.BigEndian.PutUint32(header[4:], uint32(len(e.records)+len(e.tail)))
	var total int64
	for _, part := range [][]byte{header[:], e.records, e.tail} {
		n, err := w.Write(part)
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}
