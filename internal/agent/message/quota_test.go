package message

import (
	"strings"
	"testing"
)

// A body is buffered only as far as the budget has its bytes.
func TestBodyBeyondTheBudgetIsNotBuffered(t *testing.T) {
	b := NewBodyBudget(1)
	if !b.TryAcquire(1 << 20 / 6) {
		t.Fatal("no budget")
	}
	kept, whole, held, err := b.ReadBody(strings.NewReader("body"), 4)
	if len(kept) > 0 || whole || held != 0 || err != nil {
		t.Errorf("kept %q, whole %v, held %d, %v", kept, whole, held, err)
	}
	b.Release(4)
	kept, whole, held, err = b.ReadBody(strings.NewReader("body"), 4)
	if string(kept) != "body" || !whole || held != 4 || err != nil {
		t.Errorf("kept %q, whole %v, held %d, %v", kept, whole, held, err)
	}
}
