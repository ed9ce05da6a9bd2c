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

// fieldReader reads the fields of a record one after the other. A record has a fixed size and so all of its
// fields.
type fieldReader struct {
	rest []byte // what is not read yet
}

// skip passes over fields that are not used.
func (f *fieldReader) skip(size int) { f.rest = f.rest[size:] }

// uint8 reads a byte.
func (f *fieldReader) uint8() uint8 {
	v := f.rest[0]
	f.skip(1)
	return v
}

// uint16 reads a number of two bytes.
func (f *fieldReader) uint16() uint16 {
	v := binary.BigEndian.Uint16(f.rest)
	f.skip(uint16Size)
	return v
}

// uint32 reads a number of four bytes.
func (f *fieldReader) uint32() uint32 {
	v := binary.BigEndian.Uint32(f.rest)
	f.skip(uint32Size)
	return v
}

// uint64 reads a number of eight bytes.
func (f *fieldReader) uint64() uint64 {
	v := binary.BigEndian.Uint64(f.rest)
	f.skip(uint64Size)
	return v
}

// float32 reads a floating-point number of four bytes.
func (f *fieldReader) float32() float32 { return math.Float32frombits(f.uint32()) }

// float64 reads a floating-point number of eight bytes.
func (f *fieldReader) float64() float64 { return math.Float64frombits(f.uint64()) }

// requestID reads the id of a request.
func (f *fieldReader) requestID() balancer.RequestID { return balancer.RequestID(f.uint32()) }

// address reads the address of a server.
func (f *fieldReader) address() balancer.Addr {
	v := balancer.Addr(f.rest[:addressSize])
	f.skip(addressSize)
	return v
}

// status reads how an attempt or a health check ended.
func (f *fieldReader) status() balancer.Status { return balancer.Status(f.uint16()) }

// span reads the place of a field's value in the tail.
func (f *fieldReader) span() tailSpan {
	offset := f.uint32()
	return tailSpan{offset: offset, length: f.uint32()}
}

// fieldWriter writes the fields of a record of zeros one after the other.
type fieldWriter struct {
	rest []byte // what is not written yet
}

// uint8 writes a byte.
func (f *fieldWriter) uint8(v uint8) {
	f.rest[0] = v
	f.rest = f.rest[1:]
}

// uint16 writes a number of two bytes.
func (f *fieldWriter) uint16(v uint16) {
	binary.BigEndian.PutUint16(f.rest, v)
	f.rest = f.rest[uint16Size:]
}

// uint32 writes a number of four bytes.
func (f *fieldWriter) uint32(v uint32) {
	binary.BigEndian.PutUint32(f.rest, v)
	f.rest = f.rest[uint32Size:]
}

// float64 writes a floating-point number of eight bytes.
func (f *fieldWriter) float64(v float64) {
	binary.BigEndian.PutUint64(f.rest, math.Float64bits(v))
	f.rest = f.rest[uint64Size:]
}

// requestID writes the id of a request.
func (f *fieldWriter) requestID(v balancer.RequestID) { f.uint32(uint32(v)) }

// address writes the address of a server.
func (f *fieldWriter) address(v balancer.Addr) {
	copy(f.rest, v[:])
	f.rest = f.rest[addressSize:]
}
