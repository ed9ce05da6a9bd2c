package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/wire"
)

// Record codes of the simulator's protocol.
const (
	requestCode  = 17
	killedCode   = 21
	bootCode     = 25
	crashCode    = 87
	setTimerCode = 88
)

// replyHeaderSize is the size of a reply's header, in bytes.
const replyHeaderSize = 8

// bootSeed is the random seed of all instances.
const bootSeed = 7

// settings are valid settings.
const settings = `{"classes":[{"name":"a","aimMs":100,"giveUpMs":500,"effect":"free","credit":1}],
"limits":{"maxAttempts":2},"membershipMode":"pushed","roundMs":5}`

// batch encodes a batch of records and a tail. Records are padded with zeros to wire.EventSize.
func batch(clock float64, tail string, records ...[]byte) []byte {
	const clockSize = 8
	be := binary.BigEndian
	out := be.AppendUint32(nil, uint32(len(records)))
	out = be.AppendUint32(out, uint32(clockSize+wire.EventSize*len(records)+len(tail)))
	out = be.AppendUint64(out, math.Float64bits(clock))
	for _, r := range records {
		out = append(out, append(r, make([]byte, wire.EventSize-len(r))...)...)
	}
	return append(out, tail...)
}

// bootRecord encodes a record that starts an instance. Its settings are the first textLen bytes of the tail.
func bootRecord(instance uint32, textLen int) []byte {
	be := binary.BigEndian
	r := be.AppendUint32([]byte{bootCode}, instance)
	r = be.AppendUint64(r, bootSeed)
	r = be.AppendUint32(r, 0) // the offset in the tail
	return be.AppendUint32(r, uint32(textLen))
}

// requestRecord encodes a record of a request that has 400 ms left.
func requestRecord(instance, id uint32) []byte {
	be := binary.BigEndian
	r := be.AppendUint32([]byte{requestCode}, instance)
	r = be.AppendUint32(r, id)
	r = append(r, make([]byte, 14)...) // class, tenant and key
	return be.AppendUint64(r, math.Float64bits(400))
}

// killedRecord encodes a record that ends an instance.
func killedRecord(instance uint32) []byte {
	return binary.BigEndian.AppendUint32([]byte{killedCode}, instance)
}

// An instance that is killed and booted again within one batch must start with no earlier state. Events between the two
// records must be ignored.
func TestKillAndBootWithinBatch(t *testing.T) {
	in := batch(1000, settings, bootRecord(3, len(settings)), requestRecord(3, 9))
	restart := batch(1005, settings,
		killedRecord(3), requestRecord(3, 10), bootRecord(3, len(settings)), requestRecord(3, 11))
	in = append(in, restart...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	// Each incarnation queues its request, since it has no endpoint list, and sets one timer. The request between the
	// two incarnations has no instance.
	reply := out.Bytes()
	for i, want := range []uint32{1, 1} {
		n, size := binary.BigEndian.Uint32(reply), binary.BigEndian.Uint32(reply[4:])
		if n != want || reply[replyHeaderSize] != setTimerCode {
			t.Errorf("batch %d: %d actions, the first with code %d; want %d timer", i, n, reply[replyHeaderSize], want)
		}
		reply = reply[replyHeaderSize+size:]
	}
}

// Invalid settings must be reported as a crash of the instance, with a message that names the invalid key.
func TestInvalidSettingsCrash(t *testing.T) {
	bad := strings.Replace(settings, "free", "maybe", 1)
	var out bytes.Buffer
	if err := run(bytes.NewReader(batch(1000, bad, bootRecord(3, len(bad)))), &out); err != nil {
		t.Fatal(err)
	}
	if reply := out.Bytes(); reply[replyHeaderSize] != crashCode || !strings.Contains(string(reply), "classes[0].effect") {
		t.Errorf("reply %q does not report a crash that names the key", reply)
	}
}

// Input that ends within a batch must cause an error of one line. Input that ends between two batches is complete.
func TestTruncatedInput(t *testing.T) {
	in := batch(1000, "", killedRecord(1))
	for _, c := range []struct {
		name   string
		length int
	}{
		{"within the header", 3},
		{"after the header", 8},
		{"within the records", len(in) - 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			if err := run(bytes.NewReader(in[:c.length]), &out); err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %v, want one line", err)
			}
		})
	}
	var out bytes.Buffer
	if err := run(bytes.NewReader(nil), &out); err != nil {
		t.Errorf("input that ends before a batch: %v", err)
	}
}
