package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is a fleet of processes on a network that loses, doubles, delays and reorders, with
// clocks that are offset and drift, processes that stand still and that start again with
// nothing remembered. True time is known to it alone.
type model struct {
	draw      func(name string, n int) int // 0 to n-1
	now       time.Duration
	cfg       Config
	bug       string
	processes []*modelProcess
	messages  []any // Request or Grant; any may be brought, doubled or dropped at any time
	spent     []entry
	started   int
}

type modelProcess struct {
	quotas *Quotas
	name   string
	offset time.Duration
	rate   float64
	paused bool
}

func (p *modelProcess) clock(now time.Duration) time.Duration {
	return p.offset + time.Duration(float64(now)*p.rate)
}

func newModel(draw func(string, int) int, bug string) *model {
	m := &model{draw: draw, bug: bug, cfg: Config{Size: 3, Budgets: map[string]Amount{"cold": 30 * Unit}, Window: 2 * time.Second,
		LoanDuration: 5 * time.Second, LendableFraction: 0.8, MaxClockDrift: 0.02, MaxLoans: 4}}
	for range m.cfg.Size {
		p := &modelProcess{offset: time.Duration(draw("offset", 1000)) * time.Second, rate: 1 + 0.02*float64(draw("rate", 3)-1)}
		m.processes = append(m.processes, p)
		m.startProcess(p)
	}
	return m
}

// begin starts a process anew.
func (m *model) startProcess(p *modelProcess) {
	m.started++
	c := m.cfg
	c.Process = fmt.Sprint("p", m.started)
	if m.bug == "no margin" {
		c.MaxClockDrift = 0
	}
	p.name, p.paused = c.Process, false
	p.quotas, _ = New(c, p.clock(m.now))
	p.quotas.bug = m.bug
}

// step does one thing, and gives an error if more than the budget was spent in a window.
func (m *model) step() error {
	p := m.processes[m.draw("process", len(m.processes))]
	what := m.draw("what", 100)
	switch {
	case what == 0:
		m.startProcess(p)
	case what < 4:
		p.paused = !p.paused
	case what < 30:
		m.now += time.Duration(1+m.draw("ms", 1500)) * time.Millisecond
	case what < 60 && len(m.messages) > 0:
		i := m.draw("letter", len(m.messages))
		message := m.messages[i]
		if m.draw("keep", 3) > 0 { // or it comes again
			m.messages = slices.Delete(m.messages, i, i+1)
		}
		if m.draw("lose", 5) > 0 {
			m.deliver(message)
		}
	case p.paused:
	case what < 80:
		to := m.processes[m.draw("lender", len(m.processes))]
		if r, ok := p.quotas.RequestLoan("cold", to.name, Amount(1+m.draw("amount", 10))*Unit, p.clock(m.now)); ok {
			m.messages = append(m.messages, r)
		}
	default:
		return m.spend(p)
	}
	return nil
}

func (m *model) deliver(message any) {
	for _, p := range m.processes {
		if p.paused {
			continue
		}
		switch l := message.(type) {
		case Request:
			if g, ok := p.quotas.GrantLoan(l, 0, p.clock(m.now)); ok {
				m.messages = append(m.messages, g)
			}
		case Grant:
			p.quotas.AcceptGrant(l, p.clock(m.now))
		}
	}
}

// spend has a process spend all that it may, and judges the window that ends now.
func (m *model) spend(p *modelProcess) error {
	amount := p.quotas.Available("cold", p.clock(m.now)) / Amount(1+m.draw("part", 2))
	if !p.quotas.Spend("cold", amount, p.clock(m.now)) {
		return nil
	}
	m.spent = append(m.spent, entry{amount, m.now})
	all := Amount(0)
	for _, e := range m.spent {
		if m.now-e.expiresAt < m.cfg.Window {
			all += e.amount
		}
	}
	if all > m.cfg.Budgets["cold"] {
		return fmt.Errorf("%d of %d spent in the window up to %v", all, m.cfg.Budgets["cold"], m.now)
	}
	return nil
}

// TestBudgetIsNeverExceeded is the model check; a violation shrinks to the fewest steps.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(t, name) }, "")
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			if err := m.step(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// play runs the model on a seed.
func runModel(seed uint64, bug string, steps int) (m *model, err error) {
	r := rand.New(rand.NewPCG(seed, 1))
	m = newModel(func(_ string, n int) int { return r.IntN(n) }, bug)
	for range steps {
		if err := m.step(); err != nil {
			return m, err
		}
	}
	return m, nil
}

// TestModelFindsEachBug: 200 random schedules keep the budget, lend and spend; with a rule left
// out some break it.
func TestModelFindsEachBug(t *testing.T) {
	loans := 0
	for seed := range uint64(200) {
		m, err := runModel(seed, "", 2000)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, p := range m.processes {
			loans += int(p.quotas.expiredLoans)
		}
	}
	if loans < 200 {
		t.Errorf("only %d loans were used in 200 schedules", loans)
	}
	for _, bug := range []string{"no quarantine", "short window", "lends what is spent", "back without a window", "back before its end",
		"counts from the grant", "takes a grant twice", "no margin"} {
		found := false
		for seed := uint64(0); seed < 400 && !found; seed++ {
			_, err := runModel(seed, bug, 2000)
			found = err != nil
		}
		if !found {
			t.Errorf("the bug %q is not found", bug)
		}
	}
}

// TestForgedWordsChangeNothing: grants that were not asked for, or for more, and requests for
// others or of senseless amounts.
func TestForgedMessagesChangeNothing(t *testing.T) {
	c := Config{Process: "a", Size: 2, Budgets: map[string]Amount{"x": 10 * Unit}, Window: time.Second, LoanDuration: time.Second, LendableFraction: 1, MaxLoans: 2}
	q, err := New(c, 0)
	if err != nil {
		t.Fatal(err)
	}
	now := 10 * time.Second
	r, _ := q.RequestLoan("x", "b", Unit, now)
	good := Grant{Budget: "x", Borrower: "a", Lender: "b", Number: r.Number, Amount: Unit}
	for name, change := range map[string]func(g *Grant){
		"another number":   func(g *Grant) { g.Number++ },
		"another lender":   func(g *Grant) { g.Lender = "c" },
		"another borrower": func(g *Grant) { g.Borrower = "c" },
		"another budget":   func(g *Grant) { g.Budget = "y" },
		"more than asked":  func(g *Grant) { g.Amount = 1 << 62 },
		"less than none":   func(g *Grant) { g.Amount = -Unit },
	} {
		g := good
		change(&g)
		if q.AcceptGrant(g, now) {
			t.Errorf("a grant of %s is taken", name)
		}
	}
	for _, r := range []Request{{Budget: "x", Borrower: "b", Lender: "c", Amount: Unit}, {Budget: "y", Borrower: "b", Lender: "a", Amount: Unit},
		{Budget: "x", Borrower: "b", Lender: "a", Amount: -Unit}, {Budget: "x", Borrower: "a", Lender: "a", Amount: Unit}} {
		if _, ok := q.GrantLoan(r, 0, now); ok {
			t.Errorf("%+v is granted", r)
		}
	}
	if !q.AcceptGrant(good, now) || q.AcceptGrant(good, now) || q.Available("x", now) != 6*Unit || q.Available("x", now+time.Second) != 5*Unit {
		t.Errorf("an honest loan: %+v", q.Holdings(now))
	}
	for range 10 { // what others ask for bounds nothing but what is lent
		q.GrantLoan(Request{Budget: "x", Borrower: "b", Lender: "a", Amount: 1}, 0, now)
	}
	if h := q.Holdings(now + time.Second)[0]; h.Lent != 2 || h.ExpiredLoans != 1 {
		t.Errorf("%+v", h)
	}
	c.MaxClockDrift = 0.7
	if _, err := New(c, 0); err == nil {
		t.Error("a drift without sense is taken")
	}
}
