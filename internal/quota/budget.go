// Package quota is what the agents of a fleet share: at present budgets, rights to spend that
// are handed between agents as loans which lapse by themselves.
//
// Its invariant: what all processes of the configured fleet together spend of a budget in any
// window of its length never exceeds the budget, whatever is cut off, lost, doubled, late or
// forged, whoever stops, stands still or starts again with nothing remembered, as long as each
// process's clock runs within Drift of true time and no two processes of one agent take part at
// once (internal/membership lets the second wait for the address). What each has seen and holds is
// bounded, whatever others say.
//
// It is the bounded counter of Balegas et al. ("Extending Eventually Consistent Cloud Databases
// for Enforcing Numeric Invariants", 2015): the budget is split into shares, one for each agent
// of the configuration, and rights move only by the giver's own hand. There, rights that a
// crashed replica holds are lost until it returns; here each loan has an end that both sides
// know by their own clocks, so that nothing has to be heard for a right to come home.
// Way not taken: a keeper of the budget under a lease, to whom all ask (a majority's side alone
// could spend then, and every spend would wait for an answer).
package quota

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Amount is in thousandths of a unit: in a large fleet one agent's share is less than one.
type Amount int64

// Unit is one whole unit of a budget.
const Unit Amount = 1000

// Config is how a process takes part in budgets. All processes of a fleet have the same values,
// but for Process.
type Config struct {
	Process string // this start of this agent, as in the fleet view
	Size    int    // agents that the configuration names
	// Budgets are what the whole fleet may spend, by name, in any window of the length Window.
	Budgets map[string]Amount
	Window  time.Duration
	// Loan is how long a loan lasts, from the request on.
	Loan time.Duration
	// Lendable is the part of a share, from 0 to 1, that may be lent. A process that has just
	// started has no use of it until the loans of those before it in its place have lapsed.
	Lendable float64
	// Drift bounds how fast or slow a process's clock runs, as a part of true time: 0.01 is 1 %.
	Drift float64
	// Loans bounds how many loans a process has out, and how many it holds, of one budget.
	Loans int
}

func (c *Config) check() error {
	switch {
	case c.Process == "":
		return errors.New("shared: a process's identity is needed")
	case c.Size < 1:
		return fmt.Errorf("shared: the size of the fleet must be 1 at least, is %d", c.Size)
	case c.Window <= 0 || c.Loan <= 0:
		return errors.New("shared: window and loan must be above 0")
	case !(c.Lendable >= 0 && c.Lendable <= 1):
		return fmt.Errorf("shared: the lendable part must be from 0 to 1, is %g", c.Lendable)
	case !(c.Drift >= 0 && c.Drift < 0.5):
		return fmt.Errorf("shared: the drift must be from 0 to below 0.5, is %g", c.Drift)
	case c.Loans < 1:
		return fmt.Errorf("shared: the number of loans must be 1 at least, is %d", c.Loans)
	}
	for name, b := range c.Budgets {
		if b < 0 {
			return fmt.Errorf("shared: budget %q is below 0", name)
		}
	}
	return nil
}

// longer is a time on this clock in which at least d of true time pass on any other that keeps
// within Drift; shorter is one in which at most d do.
func (c *Config) longer(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + c.Drift) / (1 - c.Drift))
}

func (c *Config) shorter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - c.Drift) / (1 + c.Drift))
}

// Budgets are a process's rights. All methods take the time on this process's own monotonic
// clock, from any start; it never goes back. They are for one goroutine.
type Budgets struct {
	cfg    Config
	start  time.Duration
	asked  map[uint64]request // by number: requests without a grant yet
	serial uint64
	by     map[string]*account
	lapsed uint64
	bug    string // for the model check: a rule left out
}

type request struct {
	at     time.Duration
	budget string
	lender string
	amount Amount
}

// account is what a process has of one budget.
type account struct {
	share    Amount
	spent    []entry // in the last window, as its clock counts it at the longest
	lent     []entry // until: when it is back
	borrowed []entry // until: when it ends
}

type entry struct {
	amount Amount
	until  time.Duration
}

func sum(entries []entry) (s Amount) {
	for _, e := range entries {
		s += e.amount
	}
	return s
}

// New is a process that starts, or becomes a member in its agent's place, at a time. For one
// window it spends nothing, as what went before it in its place may have spent its share.
func New(cfg Config, now time.Duration) (*Budgets, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	b := &Budgets{cfg: cfg, start: now, asked: map[uint64]request{}, by: map[string]*account{}}
	for name, all := range cfg.Budgets {
		b.by[name] = &account{share: all / Amount(cfg.Size)}
	}
	return b, nil
}

// settle drops what is over.
func (b *Budgets) settle(a *account, now time.Duration) {
	over := func(e entry) bool { return e.until <= now }
	a.spent = slices.DeleteFunc(a.spent, over)
	a.lent = slices.DeleteFunc(a.lent, over)
	n := len(a.borrowed)
	a.borrowed = slices.DeleteFunc(a.borrowed, over)
	b.lapsed += uint64(n - len(a.borrowed))
}

// own is the part of its share that a process may use itself or lend at a time.
func (b *Budgets) own(a *account, now time.Duration) Amount {
	age := now - b.start
	lendable := Amount(float64(a.share) * b.cfg.Lendable)
	switch c := &b.cfg; {
	case b.bug == "no quarantine":
		return a.share - sum(a.lent)
	case age < c.longer(c.Window):
		return 0
	case age < c.longer(c.Loan+c.Window):
		return a.share - lendable
	}
	return a.share - sum(a.lent)
}

// Free is what a process may spend of a budget now.
func (b *Budgets) Free(budget string, now time.Duration) Amount {
	a := b.by[budget]
	if a == nil {
		return 0
	}
	b.settle(a, now)
	return b.own(a, now) + sum(a.borrowed) - sum(a.spent)
}

// Spend spends an amount of a budget, whole or not at all.
func (b *Budgets) Spend(budget string, amount Amount, now time.Duration) bool {
	if amount <= 0 || b.Free(budget, now) < amount {
		return false
	}
	a := b.by[budget]
	window := b.cfg.longer(b.cfg.Window)
	if b.bug == "short window" {
		window /= 2
	}
	a.spent = append(a.spent, entry{amount, now + window})
	return true
}

// Request asks another process for a loan; Grant answers one. Both name the request by a number
// that its process gives it once.
type Request struct {
	Budget   string
	Borrower string
	Lender   string
	Number   uint64
	Amount   Amount
}

type Grant struct {
	Budget   string
	Borrower string
	Lender   string
	Number   uint64
	Amount   Amount
}

// Ask makes a request for a loan of an amount; false: too many are out.
func (b *Budgets) Ask(budget, lender string, amount Amount, now time.Duration) (Request, bool) {
	for n, r := range b.asked {
		if now-r.at >= b.cfg.shorter(b.cfg.Loan) {
			delete(b.asked, n) // a grant would be over
		}
	}
	if b.by[budget] == nil || amount <= 0 || len(b.asked) >= b.cfg.Loans || lender == b.cfg.Process {
		return Request{}, false
	}
	b.serial++
	b.asked[b.serial] = request{now, budget, lender, amount}
	return Request{Budget: budget, Borrower: b.cfg.Process, Lender: lender, Number: b.serial, Amount: amount}, true
}

// Lend answers a request of another process: it lends what it can spare beside keep of what it
// has now, at the most what is asked. The right is out from now on, whether or not the grant
// arrives, until the loan is over on the slowest clock and one window more, in which what was
// spent under it still counts.
func (b *Budgets) Lend(r Request, keep Amount, now time.Duration) (Grant, bool) {
	a := b.by[r.Budget]
	if a == nil || r.Lender != b.cfg.Process || r.Borrower == b.cfg.Process || r.Amount <= 0 || len(a.lent) >= b.cfg.Loans {
		return Grant{}, false
	}
	b.settle(a, now)
	if now-b.start < b.cfg.longer(b.cfg.Loan+b.cfg.Window) && b.bug != "no quarantine" {
		return Grant{}, false // its place may have rights out that it does not know of
	}
	// Only its own is lent, what it has spent of late counted as spent of that.
	spent := sum(a.spent)
	if b.bug == "lends what is spent" {
		spent = 0
	}
	lendable := Amount(float64(a.share)*b.cfg.Lendable) - sum(a.lent)
	amount := min(r.Amount, lendable, b.own(a, now)-spent-max(0, keep))
	if amount <= 0 {
		return Grant{}, false
	}
	back := b.cfg.longer(b.cfg.Loan + b.cfg.Window)
	switch b.bug {
	case "back without a window":
		back = b.cfg.longer(b.cfg.Loan)
	case "back before its end":
		back = b.cfg.Window
	}
	a.lent = append(a.lent, entry{amount, now + back})
	return Grant{Budget: r.Budget, Borrower: r.Borrower, Lender: r.Lender, Number: r.Number, Amount: amount}, true
}

// Take uses a grant, if it answers a request of this process's own that has none yet; the loan
// counts from the request, which was before the lender's count began.
func (b *Budgets) Take(g Grant, now time.Duration) bool {
	r, ok := b.asked[g.Number]
	if !ok || g.Borrower != b.cfg.Process || g.Budget != r.budget || g.Lender != r.lender || g.Amount <= 0 || g.Amount > r.amount {
		return false
	}
	a := b.by[g.Budget]
	b.settle(a, now)
	end := r.at + b.cfg.shorter(b.cfg.Loan)
	if b.bug == "counts from the grant" {
		end = now + b.cfg.Loan
	}
	if b.bug != "takes a grant twice" {
		delete(b.asked, g.Number)
	}
	if now >= end || len(a.borrowed) >= b.cfg.Loans {
		return false
	}
	a.borrowed = append(a.borrowed, entry{g.Amount, end})
	return true
}

// Holding is what a process has of a budget at a time, for people and figures.
type Holding struct {
	Budget                            string
	Share, Own, Lent, Borrowed, Spent Amount
	Lapsed                            uint64 // loans, of all budgets, that ended while they were held
}

// Holdings are all budgets, by name.
func (b *Budgets) Holdings(now time.Duration) (out []Holding) {
	for _, name := range slices.Sorted(maps.Keys(b.by)) {
		a := b.by[name]
		b.settle(a, now)
		out = append(out, Holding{Budget: name, Share: a.share, Own: b.own(a, now), Lent: sum(a.lent), Borrowed: sum(a.borrowed), Spent: sum(a.spent), Lapsed: b.lapsed})
	}
	return out
}
