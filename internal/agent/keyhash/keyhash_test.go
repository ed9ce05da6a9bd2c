package keyhash

import (
	"hash/fnv"
	"testing"
)

// Agents of all versions have to agree on the hash of a key: the first three are the published test vectors of FNV-1a.
func TestSumIsStable(t *testing.T) {
	for text, want := range map[string]uint64{
		"":       0xcbf29ce484222325,
		"a":      0xaf63dc4c8601ec8c,
		"foobar": 0x85944171f73967e8,
		"s-1":    0x817cda195c3fbf24,
	} {
		if got := Sum(text); got != want {
			t.Errorf("the hash of %q is %#x, want %#x", text, got, want)
		}
	}
}

// A hash of 0 would say that there is no key.
func TestSumIsNeverZero(t *testing.T) {
	const hashedToZero = "\xd5\x6b\xb9\x53\x42\x87\x08\x36"
	plain := fnv.New64a()
	if _, err := plain.Write([]byte(hashedToZero)); err != nil {
		t.Fatal(err)
	}
	if plain.Sum64() != 0 {
		t.Fatalf("FNV-1a is %#x, the test needs a text for which it is 0", plain.Sum64())
	}
	if got := Sum(hashedToZero); got != 1 {
		t.Errorf("the hash is %#x, want 1", got)
	}
}

// The order of addresses and of servers rests on these values at every agent.
func TestMixIsStable(t *testing.T) {
	for hash, want := range map[uint64]uint64{
		0:         0,
		1:         0xb456bcfc34c2cb2c,
		2:         0x3abf2a20650683e7,
		1<<64 - 1: 0x64b5720b4b825f21,
	} {
		if got := Mix(hash); got != want {
			t.Errorf("Mix(%#x) is %#x, want %#x", hash, got, want)
		}
	}
}
