package message

import (
	"strings"
	"testing"
)

// A body is buffered only if the budget has enough bytes left for it.
func TestBodyBeyondTheBudgetIsNotBuffered(t *testing.T) {
	budget := NewQuota(1 << 20 / 6)
	if !budget.TryAcquire(1 << 20 / 6) {
		t.Fatal("no budget")
	}
	part, err := budget.ReadBody(strings.NewReader("body"), 4)
	if len(part.Bytes) > 0 || part.Complete || part.Reserved != 0 || err != nil {
		t.Errorf("without budget: buffered %+v, error %v", part, err)
	}
	budget.Release(4)
	part, err = budget.ReadBody(strings.NewReader("body"), 4)
	if string(part.Bytes) != "body" || !part.Complete || part.Reserved != 4 || err != nil {
		t.Errorf("within the budget: buffered %+v, error %v", part, err)
	}
}
