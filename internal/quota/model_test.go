package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelBudget is the only budget of the model.
const modelBudget = "requests"

// A step draws a number below actionCount. Each bound is the exclusive upper end of the range of one kind of step,
// which starts at the previous bound. Numbers from requestBound on are spends.
const (
	startBound   = 1
	pauseBound   = 4
	timeBound    = 30
	messageBound = 60
	requestBound = 80
	actionCount  = 100
	// maxTimeStepMs is the maximum time that passes in one step.
	maxTimeStepMs = 1500
)

// model is a fleet of processes that stall and restart without their state, with clocks that have offsets and drift, on
// a network that loses, duplicates, delays and reorders messages. Only the model knows the true time.
type model struct {
	draw      func(name string, n int) int // returns a number from 0 to n-1
	now       time.Duration
	cfg       Config
	omission  omission
	processes []*modelProcess
	messages  []message // any may be delivered, duplicated or dropped at any time
	spent     []spending
	started   int
}

// message is either a request or a grant; the other field is nil.
type message struct {
	request *Request
	grant   *Grant
}

// omission is a rule that the model check leaves out: either a rule of Quotas or, with noDriftMargin, the allowance for
// clock drift in the configuration.
type omission struct {
	name          string
	rule          rule
	noDriftMargin bool
}

// modelProcess is a process of the model with its clock.
type modelProcess struct {
	quotas *Quotas
	name   string
	offset time.Duration
	rate   float64
	paused bool
}

// spending is an amount that was spent at a true time.
type spending struct {
	amount Amount
	at     time.Duration
}

func (p *modelProcess) clock(now time.Duration) time.Duration {
	return p.offset + time.Duration(float64(now)*p.rate)
}

func newModel(draw func(string, int) int, omitted omission) *model {
	m := &model{draw: draw, omission: omitted, cfg: Config{
		Size:             3,
		Budgets:          map[string]Amount{modelBudget: 30 * Unit},
		Window:           2 * time.Second,
		LoanDuration:     5 * time.Second,
		LendableFraction: 0.8,
		MaxClockDrift:    0.02,
		MaxLoans:         4,
	}}
	for range m.cfg.Size {
		p := &modelProcess{
			offset: time.Duration(draw("offset", 1000)) * time.Second,
			rate:   1 + 0.02*float64(draw("rate", 3)-1),
		}
		m.processes = append(m.processes, p)
		m.startProcess(p)
	}
	return m
}

// startProcess starts or restarts a process, without its earlier state.
func (m *model) startProcess(p *modelProcess) {
	m.started++
	cfg := m.cfg
	cfg.Process = fmt.Sprint("p", m.started)
	if m.omission.noDriftMargin {
		cfg.MaxClockDrift = 0
	}
	p.name = cfg.Process
	p.paused = false
	p.quotas, _ = New(cfg, p.clock(m.now))
	p.quotas.omitted = m.omission.rule
}

// step executes a random step. It returns an error if more than the budget was spent in a window.
func (m *model) step() error {
	p := m.processes[m.draw("process", len(m.processes))]
	action := m.draw("action", actionCount)
	switch {
	case action < startBound:
		m.startProcess(p)
	case action < pauseBound:
		p.paused = !p.paused
	case action < timeBound:
		m.now += time.Duration(1+m.draw("ms", maxTimeStepMs)) * time.Millisecond
	case action < messageBound && len(m.messages) > 0:
		m.handleMessage()
	case p.paused:
	case action < requestBound:
		m.requestLoan(p)
	default:
		return m.spend(p)
	}
	return nil
}

// handleMessage delivers or drops a random message, and may keep it so that it is delivered again.
func (m *model) handleMessage() {
	i := m.draw("message", len(m.messages))
	drawn := m.messages[i]
	if m.draw("keep", 3) > 0 {
		m.messages = slices.Delete(m.messages, i, i+1)
	}
	if m.draw("lose", 5) > 0 {
		m.deliver(drawn)
	}
}

func (m *model) deliver(received message) {
	for _, p := range m.processes {
		if p.paused {
			continue
		}
		if received.grant != nil {
			p.quotas.AcceptGrant(*received.grant, p.clock(m.now))
			continue
		}
		if grant, ok := p.quotas.GrantLoan(*received.request, 0, p.clock(m.now)); ok {
			m.messages = append(m.messages, message{grant: &grant})
		}
	}
}

func (m *model) requestLoan(p *modelProcess) {
	lender := m.processes[m.draw("lender", len(m.processes))]
	amount := Amount(1+m.draw("amount", 10)) * Unit
	if request, ok := p.quotas.RequestLoan(modelBudget, lender.name, amount, p.clock(m.now)); ok {
		m.messages = append(m.messages, message{request: &request})
	}
}

// spend makes a process spend all or half of its available amount, and checks the window that ends now.
func (m *model) spend(p *modelProcess) error {
	amount := p.quotas.Available(modelBudget, p.clock(m.now)) / Amount(1+m.draw("part", 2))
	if !p.quotas.Spend(modelBudget, amount, p.clock(m.now)) {
		return nil
	}
	m.spent = append(m.spent, spending{amount, m.now})
	total := Amount(0)
	for _, s := range m.spent {
		if m.now-s.at < m.cfg.Window {
			total += s.amount
		}
	}
	if total > m.cfg.Budgets[modelBudget] {
		return fmt.Errorf("%d of budget %d spent in the window that ends at %v", total, m.cfg.Budgets[modelBudget], m.now)
	}
	return nil
}

// TestBudgetIsNeverExceeded checks the invariant on random schedules, which rapid shrinks when one violates it.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(t, name) }
		m := newModel(draw, omission{})
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			if err := m.step(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// runModel runs the model with a random schedule for the seed.
func runModel(seed uint64, omitted omission, steps int) (*model, error) {
	r := rand.New(rand.NewPCG(seed, 1))
	m := newModel(func(_ string, n int) int { return r.IntN(n) }, omitted)
	for range steps {
		if err := m.step(); err != nil {
			return m, err
		}
	}
	return m, nil
}

// TestModelFindsEachOmittedRule checks that 200 random schedules keep the budget while loans are used, and that without
// any one of the rules some schedule exceeds the budget.
func TestModelFindsEachOmittedRule(t *testing.T) {
	loans := 0
	for seed := range uint64(200) {
		m, err := runModel(seed, omission{}, 2000)
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
	for _, omitted := range []omission{
		{name: "start quarantine", rule: startQuarantine},
		{name: "full window", rule: fullWindow},
		{name: "lend only unspent", rule: lendOnlyUnspent},
		{name: "return after spend", rule: returnAfterSpend},
		{name: "return after loan", rule: returnAfterLoan},
		{name: "loan from request", rule: loanFromRequest},
		{name: "grant once", rule: grantOnce},
		{name: "drift margin", noDriftMargin: true},
	} {
		found := false
		for seed := uint64(0); seed < 400 && !found; seed++ {
			_, err := runModel(seed, omitted, 2000)
			found = err != nil
		}
		if !found {
			t.Errorf("the model does not find the omission of the rule %q", omitted.name)
		}
	}
}
