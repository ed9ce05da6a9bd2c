package keyhash

import (
	"hash/fnv"
	"testing"
)

// Agents of all versions must agree on the hash of a key. The first three values are published test vectors of FNV-1a.
func TestSumIsStable(t *testing.T) {
	for text, want := range map[string]uint64{
		"":       0xcbf29ce484222325,
		"a":      0xaf63dc4c8601ec8c,
		"foobar": 0x85944171f73967e8,
		"s-1":    0x817cda195c3fbf24,
	} {
		if got := Sum(text); got != want {
			t.Errorf("Sum(%q) = %#x, want %#x", text, got, want)
		}
	}
}

// The hash must not be 0, which means that there is no key.
func TestSumIsNeverZero(t *testing.T) {
	const zeroHashText = "\xd5\x6b\xb9\x53\x42\x87\x08\x36"
	fnvHash := fnv.New64a()
	if _, err := fnvHash.Write([]byte(zeroHashText)); err != nil {
		t.Fatal(err)
	}
	if fnvHash.Sum64() != 0 {
		t.Fatalf("FNV-1a hash is %#x, the test needs a text that hashes to 0", fnvHash.Sum64())
	}
	if got := Sum(zeroHashText); got != 1 {
		t.Errorf("Sum = %#x, want 1", got)
	}
}

// The order of addresses and of servers depends on these values at every agent.
func TestMixIsStable(t *testing.T) {
	for hash, want := range map[uint64]uint64{
		0:         0,
		1:         0xb456bcfc34c2cb2c,
		2:         0x3abf2a20650683e7,
		1<<64 - 1: 0x64b5720b4b825f21,
	} {
		if got := Mix(hash); got != want {
			t.Errorf("Mix(%#x) = %#x, want %#x", hash, got, want)
		}
	}
}
