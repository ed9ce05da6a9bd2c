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
	LoanDuration time.Duration
	// Lendable is the part of a share, from 0 to 1, that may be lent. A process that has just
	// started has no use of it until the loans of those before it in its place have lapsed.
	LendableFraction float64
	// Drift bounds how fast or slow a process's clock runs, as a part of true time: 0.01 is 1 %.
	MaxClockDrift float64
	// Loans bounds how many loans a process has out, and how many it holds, of one budget.
	MaxLoans int
}

func (c *Config) check() error {
	switch {
	case c.Process == "":
		return errors.New("shared: a process's identity is needed")
	case c.Size < 1:
		return fmt.Errorf("shared: the size of the fleet must be 1 at least, is %d", c.Size)
	case c.Window <= 0 || c.LoanDuration <= 0:
		return errors.New("shared: window and loan must be above 0")
	case !(c.LendableFraction >= 0 && c.LendableFraction <= 1):
		return fmt.Errorf("shared: the lendable part must be from 0 to 1, is %g", c.LendableFraction)
	case !(c.MaxClockDrift >= 0 && c.MaxClockDrift < 0.5):
		return fmt.Errorf("shared: the drift must be from 0 to below 0.5, is %g", c.MaxClockDrift)
	case c.MaxLoans < 1:
		return fmt.Errorf("shared: the number of loans must be 1 at least, is %d", c.MaxLoans)
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
func (c *Config) atLeast(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + c.MaxClockDrift) / (1 - c.MaxClockDrift))
}

func (c *Config) atMost(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - c.MaxClockDrift) / (1 + c.MaxClockDrift))
}

// Budgets are a process's rights. All methods take the time on this process's own monotonic
// clock, from any start; it never goes back. They are for one goroutine.
type Quotas struct {
	cfg          Config
	startedAt    time.Duration
	pending      map[uint64]pendingRequest // by number: requests without a grant yet
	lastNumber   uint64
	accounts     map[string]*account
	expiredLoans uint64
	bug          string // for the model check: a rule left out
}

type pendingRequest struct {
	requestedAt time.Duration
	budget      string
	lender      string
	amount      Amount
}

// account is what a process has of one budget.
type account struct {
	share    Amount
	spent    []entry // in the last window, as its clock counts it at the longest
	lent     []entry // until: when it is back
	borrowed []entry // until: when it ends
}

type entry struct {
	amount    Amount
	expiresAt time.Duration
}

func sum(entries []entry) (s Amount) {
	for _, e := range entries {
		s += e.amount
	}
	return s
}

// New is a process that starts, or becomes a member in its agent's place, at a time. For one
// window it spends nothing, as what went before it in its place may have spent its share.
func New(cfg Config, now time.Duration) (*Quotas, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	q := &Quotas{cfg: cfg, startedAt: now, pending: map[uint64]pendingRequest{}, accounts: map[string]*account{}}
	for name, all := range cfg.Budgets {
		q.accounts[name] = &account{share: all / Amount(cfg.Size)}
	}
	return q, nil
}

// settle drops what is over.
func (q *Quotas) dropExpired(account *account, now time.Duration) {
	over := func(e entry) bool { return e.expiresAt <= now }
	account.spent = slices.DeleteFunc(account.spent, over)
	account.lent = slices.DeleteFunc(account.lent, over)
	n := len(account.borrowed)
	account.borrowed = slices.DeleteFunc(account.borrowed, over)
	q.expiredLoans += uint64(n - len(account.borrowed))
}

// own is the part of its share that a process may use itself or lend at a time.
func (q *Quotas) ownAmount(account *account, now time.Duration) Amount {
	age := now - q.startedAt
	lendable := Amount(float64(account.share) * q.cfg.LendableFraction)
	switch c := &q.cfg; {
	case q.bug == "no quarantine":
		return account.share - sum(account.lent)
	case age < c.atLeast(c.Window):
		return 0
	case age < c.atLeast(c.LoanDuration+c.Window):
		return account.share - lendable
	}
	return account.share - sum(account.lent)
}

// Free is what a process may spend of a budget now.
func (q *Quotas) Available(budget string, now time.Duration) Amount {
	account := q.accounts[budget]
	if account == nil {
		return 0
	}
	q.dropExpired(account, now)
	return q.ownAmount(account, now) + sum(account.borrowed) - sum(account.spent)
}

// Spend spends an amount of a budget, whole or not at all.
func (q *Quotas) Spend(budget string, amount Amount, now time.Duration) bool {
	if amount <= 0 || q.Available(budget, now) < amount {
		return false
	}
	account := q.accounts[budget]
	window := q.cfg.atLeast(q.cfg.Window)
	if q.bug == "short window" {
		window /= 2
	}
	account.spent = append(account.spent, entry{amount, now + window})
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
func (q *Quotas) RequestLoan(budget, lender string, amount Amount, now time.Duration) (Request, bool) {
	for n, r := range q.pending {
		if now-r.requestedAt >= q.cfg.atMost(q.cfg.LoanDuration) {
			delete(q.pending, n) // a grant would be over
		}
	}
	if q.accounts[budget] == nil || amount <= 0 || len(q.pending) >= q.cfg.MaxLoans || lender == q.cfg.Process {
		return Request{}, false
	}
	q.lastNumber++
	q.pending[q.lastNumber] = pendingRequest{now, budget, lender, amount}
	return Request{Budget: budget, Borrower: q.cfg.Process, Lender: lender, Number: q.lastNumber, Amount: amount}, true
}

// Lend answers a request of another process: it lends what it can spare beside keep of what it
// has now, at the most what is asked. The right is out from now on, whether or not the grant
// arrives, until the loan is over on the slowest clock and one window more, in which what was
// spent under it still counts.
func (q *Quotas) GrantLoan(r Request, keep Amount, now time.Duration) (Grant, bool) {
	account := q.accounts[r.Budget]
	if account == nil || r.Lender != q.cfg.Process || r.Borrower == q.cfg.Process || r.Amount <= 0 || len(account.lent) >= q.cfg.MaxLoans {
		return Grant{}, false
	}
	q.dropExpired(account, now)
	if now-q.startedAt < q.cfg.atLeast(q.cfg.LoanDuration+q.cfg.Window) && q.bug != "no quarantine" {
		return Grant{}, false // its place may have rights out that it does not know of
	}
	// Only its own is lent, what it has spent of late counted as spent of that.
	spent := sum(account.spent)
	if q.bug == "lends what is spent" {
		spent = 0
	}
	lendable := Amount(float64(account.share)*q.cfg.LendableFraction) - sum(account.lent)
	amount := min(r.Amount, lendable, q.ownAmount(account, now)-spent-max(0, keep))
	if amount <= 0 {
		return Grant{}, false
	}
	back := q.cfg.atLeast(q.cfg.LoanDuration + q.cfg.Window)
	switch q.bug {
	case "back without a window":
		back = q.cfg.atLeast(q.cfg.LoanDuration)
	case "back before its end":
		back = q.cfg.Window
	}
	account.lent = append(account.lent, entry{amount, now + back})
	return Grant{Budget: r.Budget, Borrower: r.Borrower, Lender: r.Lender, Number: r.Number, Amount: amount}, true
}

// Take uses a grant, if it answers a request of this process's own that has none yet; the loan
// counts from the request, which was before the lender's count began.
func (q *Quotas) AcceptGrant(g Grant, now time.Duration) bool {
	r, ok := q.pending[g.Number]
	if !ok || g.Borrower != q.cfg.Process || g.Budget != r.budget || g.Lender != r.lender || g.Amount <= 0 || g.Amount > r.amount {
		return false
	}
	account := q.accounts[g.Budget]
	q.dropExpired(account, now)
	end := r.requestedAt + q.cfg.atMost(q.cfg.LoanDuration)
	if q.bug == "counts from the grant" {
		end = now + q.cfg.LoanDuration
	}
	if q.bug != "takes a grant twice" {
		delete(q.pending, g.Number)
	}
	if now >= end || len(account.borrowed) >= q.cfg.MaxLoans {
		return false
	}
	account.borrowed = append(account.borrowed, entry{g.Amount, end})
	return true
}

// Holding is what a process has of a budget at a time, for people and figures.
type Holding struct {
	Budget                            string
	Share, Own, Lent, Borrowed, Spent Amount
	ExpiredLoans                      uint64 // loans, of all budgets, that ended while they were held
}

// Holdings are all budgets, by name.
func (q *Quotas) Holdings(now time.Duration) (out []Holding) {
	for _, name := range slices.Sorted(maps.Keys(q.accounts)) {
		account := q.accounts[name]
		q.dropExpired(account, now)
		out = append(out, Holding{Budget: name, Share: account.share, Own: q.ownAmount(account, now), Lent: sum(account.lent), Borrowed: sum(account.borrowed), Spent: sum(account.spent), ExpiredLoans: q.expiredLoans})
	}
	return out
}
