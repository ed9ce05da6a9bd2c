package quota

import (
	"testing"
	"time"
)

// testConfig returns the configuration of process a in a fleet of two, with a budget "x" of ten units.
func testConfig() Config {
	return Config{
		Process:          "a",
		Size:             2,
		Budgets:          map[string]Amount{"x": 10 * Unit},
		Window:           time.Second,
		LoanDuration:     time.Second,
		LendableFraction: 1,
		MaxLoans:         2,
	}
}

// TestForgedMessagesChangeNothing checks that grants that were not requested or are for more than requested, and
// requests that are for another lender or budget or have an invalid amount, are rejected.
func TestForgedMessagesChangeNothing(t *testing.T) {
	q, err := New(testConfig(), 0)
	if err != nil {
		t.Fatal(err)
	}
	now := 10 * time.Second
	request, _ := q.RequestLoan("x", "b", Unit, now)
	valid := Grant{Budget: "x", Borrower: "a", Lender: "b", Number: request.Number, Amount: Unit}
	checkForgedGrants(t, q, valid, now)
	checkForgedRequests(t, q, now)
	if !q.AcceptGrant(valid, now) || q.AcceptGrant(valid, now) {
		t.Error("a valid grant is not accepted exactly once")
	}
	during, after := q.Available("x", now), q.Available("x", now+time.Second)
	if during != 6*Unit || after != 5*Unit {
		t.Errorf("%d available during the loan, %d after it, want 6 and 5 units: %+v", during, after, q.Holdings(now))
	}
	for range 10 { // MaxLoans of 2 bounds the granted loans
		q.GrantLoan(Request{Budget: "x", Borrower: "b", Lender: "a", Amount: 1}, 0, now)
	}
	if h := q.Holdings(now + time.Second)[0]; h.Lent != 2 || h.ExpiredLoans != 1 {
		t.Errorf("unexpected holding: %+v", h)
	}
}

// checkForgedGrants checks that a process rejects grants that differ from a valid one.
func checkForgedGrants(t *testing.T, q *Quotas, valid Grant, now time.Duration) {
	t.Helper()
	for name, change := range map[string]func(g *Grant){
		"another number":      func(g *Grant) { g.Number++ },
		"another lender":      func(g *Grant) { g.Lender = "c" },
		"another borrower":    func(g *Grant) { g.Borrower = "c" },
		"another budget":      func(g *Grant) { g.Budget = "y" },
		"more than requested": func(g *Grant) { g.Amount = 1 << 62 },
		"a negative amount":   func(g *Grant) { g.Amount = -Unit },
	} {
		forged := valid
		change(&forged)
		if q.AcceptGrant(forged, now) {
			t.Errorf("a grant of %s is accepted", name)
		}
	}
}

// checkForgedRequests checks that process a rejects invalid requests.
func checkForgedRequests(t *testing.T, q *Quotas, now time.Duration) {
	t.Helper()
	for name, request := range map[string]Request{
		"another lender":    {Budget: "x", Borrower: "b", Lender: "c", Amount: Unit},
		"another budget":    {Budget: "y", Borrower: "b", Lender: "a", Amount: Unit},
		"a negative amount": {Budget: "x", Borrower: "b", Lender: "a", Amount: -Unit},
		"its own lender":    {Budget: "x", Borrower: "a", Lender: "a", Amount: Unit},
	} {
		if _, ok := q.GrantLoan(request, 0, now); ok {
			t.Errorf("a request of %s is granted", name)
		}
	}
}

func TestNewRejectsInvalidClockDrift(t *testing.T) {
	cfg := testConfig()
	cfg.MaxClockDrift = 0.7
	if _, err := New(cfg, 0); err == nil {
		t.Error("an invalid clock drift is accepted")
	}
}
