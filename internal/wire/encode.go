package wire

import (
	"encoding/binary"
	"io"

	"fernbeam.example/fernbeam/internal/balancer"
)

// Encoder builds one reply frame. The zero value is an empty reply.
type Encoder struct {
	count   uint32
	records []byte
	tail    []byte // the texts of records
}

// Reset starts a new reply.
func (e *Encoder) Reset() {
	e.count = 0
	e.records = e.records[:0]
	e.tail = e.tail[:0]
}

// appendRecord appends a record of zeros with a code and an instance, and returns it.
func (e *Encoder) appendRecord(code byte, instance uint32) []byte {
	start := len(e.records)
	e.records = append(e.records, make([]byte, ActionSize)...)
	e.count++
	raw := e.records[start:]
	raw[0] = code
	binary.BigEndian.PutUint32(raw[1:], instance)
	return raw
}

// appendText appends a record with a text.
func (e *Encoder) appendText(code byte, instance uint32, text string) {
	raw := e.appendRecord(code, instance)
	binary.BigEndian.PutUint32(raw[5:], uint32(len(e.tail)))
	binary.BigEndian.PutUint32(raw[9:], uint32(len(text)))
	e.tail = append(e.tail, text...)
}

// Crash appends the record that an instance's decision code failed.
func (e *Encoder) Crash(instance uint32, text string) { e.appendText(codeCrash, instance, text) }

// Add appends one action of an instance.
func (e *Encoder) Add(instance uint32, a *balancer.Action) {
	be := binary.BigEndian
	switch a.Kind {
	case balancer.ActionForward:
		raw := e.appendRecord(codeForward, instance)
		be.PutUint32(raw[5:], uint32(a.Request))
		copy(raw[9:15], a.Server[:])
		putFloat64(raw[15:], a.Ms)
	case balancer.ActionCancelAttempt:
		raw := e.appendRecord(codeCancelAttempt, instance)
		be.PutUint32(raw[5:], uint32(a.Request))
		be.PutUint16(raw[9:], uint16(a.Attempt))
	case balancer.ActionReject:
		raw := e.appendRecord(codeReject, instance)
		be.PutUint32(raw[5:], uint32(a.Request))
		putFloat64(raw[9:], a.Ms)
	case balancer.ActionFail:
		raw := e.appendRecord(codeFail, instance)
		be.PutUint32(raw[5:], uint32(a.Request))
	case balancer.ActionHealthCheck:
		raw := e.appendRecord(codeHealthCheck, instance)
		copy(raw[5:11], a.Server[:])
	case balancer.ActionSetTimer:
		raw := e.appendRecord(codeSetTimer, instance)
		putFloat64(raw[5:], a.Ms)
		be.PutUint32(raw[13:], a.Token)
	case balancer.ActionWatchList:
		raw := e.appendRecord(codeWatchList, instance)
		raw[5] = 1
	case balancer.ActionFetchList:
		e.appendRecord(codeFetchList, instance)
	case balancer.ActionCloseIdle:
		raw := e.appendRecord(codeCloseIdle, instance)
		copy(raw[5:11], a.Server[:])
	case balancer.ActionLog:
		e.appendText(codeLog, instance, a.Text)
	}
}

// WriteTo writes the reply frame.
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
