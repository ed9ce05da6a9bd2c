package wire

import (
	"encoding/binary"
	"math"

	"fernbeam.example/fernbeam/internal/balancer"
)

// Sizes of fields, in bytes.
const (
	uint16Size  = 2
	uint32Size  = 4
	uint64Size  = 8
	addressSize = 6
)

// fieldReader reads the fields of a record in order. It needs no bounds checks, because records have a
// fixed size and contain all of their fields.
type fieldReader struct {
	rest []byte // unread bytes
}

// skip skips size bytes.
func (f *fieldReader) skip(size int) { f.rest = f.rest[size:] }

// uint8 reads a byte.
func (f *fieldReader) uint8() uint8 {
	v := f.rest[0]
	f.skip(1)
	return v
}

// uint16 reads a two-byte integer.
func (f *fieldReader) uint16() uint16 {
	v := binary.BigEndian.Uint16(f.rest)
	f.skip(uint16Size)
	return v
}

// uint32 reads a four-byte integer.
func (f *fieldReader) uint32() uint32 {
	v := binary.BigEndian.Uint32(f.rest)
	f.skip(uint32Size)
	return v
}

// uint64 reads an eight-byte integer.
func (f *fieldReader) uint64() uint64 {
	v := binary.BigEndian.Uint64(f.rest)
	f.skip(uint64Size)
	return v
}

// float32 reads a four-byte floating-point number.
func (f *fieldReader) float32() float32 { return math.Float32frombits(f.uint32()) }

// float64 reads an eight-byte floating-point number.
func (f *fieldReader) float64() float64 { return math.Float64frombits(f.uint64()) }

// requestID reads the ID of a request.
func (f *fieldReader) requestID() balancer.RequestID { return balancer.RequestID(f.uint32()) }

// address reads the address of a server.
func (f *fieldReader) address() balancer.Addr {
	v := balancer.Addr(f.rest[:addressSize])
	f.skip(addressSize)
	return v
}

// status reads the outcome of an attempt or a health check.
func (f *fieldReader) status() balancer.Status { return balancer.Status(f.uint16()) }

// span reads the position of a field's value in the tail.
func (f *fieldReader) span() tailSpan {
	offset := f.uint32()
	return tailSpan{offset: offset, length: f.uint32()}
}

// fieldWriter writes the fields of a zero-filled record in order.
type fieldWriter struct {
	rest []byte // bytes not written yet
}

// uint8 writes a byte.
func (f *fieldWriter) uint8(v uint8) {
	f.rest[0] = v
	f.rest = f.rest[1:]
}

// uint16 writes a two-byte integer.
func (f *fieldWriter) uint16(v uint16) {
	binary.BigEndian.PutUint16(f.rest, v)
	f.rest = f.rest[uint16Size:]
}

// uint32 writes a four-byte integer.
func (f *fieldWriter) uint32(v uint32) {
	binary.BigEndian.PutUint32(f.rest, v)
	f.rest = f.rest[uint32Size:]
}

// float64 writes an eight-byte floating-point number.
func (f *fieldWriter) float64(v float64) {
	binary.BigEndian.PutUint64(f.rest, math.Float64bits(v))
	f.rest = f.rest[uint64Size:]
}

// requestID writes the ID of a request.
func (f *fieldWriter) requestID(v balancer.RequestID) { f.uint32(uint32(v)) }

// address writes the address of a server.
func (f *fieldWriter) address(v balancer.Addr) {
	copy(f.rest, v[:])
	f.rest = f.rest[addressSize:]
}
