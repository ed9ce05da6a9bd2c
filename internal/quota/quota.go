// Package quota divides fleet-wide budgets among the agents of a fleet. Each agent has a quota of each budget, and
// agents lend each other parts of their quotas; loans expire by themselves.
//
// Its invariant: what all processes of the configured fleet together spend of a budget in any window of its length
// never exceeds the budget, whatever messages are lost, duplicated, delayed or forged and whichever processes are
// partitioned, stop, stall or restart without their state, as long as each process's clock runs within
// MaxClockDrift of true time and no two processes of one agent take part at once (internal/membership lets the
// second wait for the address). What each process stores is bounded, whatever others send.
//
// It is the bounded counter of Balegas et al. ("Extending Eventually Consistent Cloud Databases for Enforcing
// Numeric Invariants", 2015): the budget is split into shares, one for each agent of the configuration, and only the
// owner of a right can transfer it. There, rights that a crashed replica holds are lost until it returns; here each
// loan has an end that both sides know by their own clocks, so that a right returns without a message.
//
// A lease holder that grants every spend of a budget was not taken: only the majority's side of a partition could spend
// then, and each spend would wait for a response.
package quota

import (
	"maps"
	"slices"
	"time"
)

// Amount is in thousandths of a unit: in a large fleet one agent's share is less than one unit.
type Amount int64

// Unit is one unit of a budget.
const Unit Amount = 1000

// Quotas are a process's rights. All methods take the time on this process's own monotonic clock, from any start; it
// never goes back. They are for one goroutine.
type Quotas struct {
	cfg          Config
	startedAt    time.Duration
	pending      map[uint64]pendingRequest // by number: requests without a grant yet
	lastNumber   uint64
	accounts     map[string]*account // by budget
	expiredLoans uint64
	omitted      rule // for the model check
}

// rule is a rule of the protocol that the model check can omit, to show that it finds the consequence.
type rule int

const (
	noRule           rule = iota
	startQuarantine       // a process spends and lends nothing until its predecessor's rights have expired
	fullWindow            // a spend counts for the whole window
	lendOnlyUnspent       // what was spent is not lent
	returnAfterSpend      // a lent right returns only once what was spent under it has left the window
	returnAfterLoan       // a lent right returns only after the end of the loan, on the slowest clock
	loanFromRequest       // a loan counts from its request, not from its grant
	grantOnce             // a grant is accepted once
)

// account is what a process has of one budget.
type account struct {
	share    Amount
	spent    []entry // each expires when it leaves the window, by the slowest clock
	lent     []entry // each expires when the right returns
	borrowed []entry // each expires at the end of the loan
}

// entry is an amount until a time of this process's clock.
type entry struct {
	amount    Amount
	expiresAt time.Duration
}

// sum adds up the amounts of entries.
func sum(entries []entry) Amount {
	var total Amount
	for _, e := range entries {
		total += e.amount
	}
	return total
}

// New is a process that starts, or becomes a member in its agent's place, at a time. For one window it spends
// nothing, as its predecessor may have spent its share.
func New(cfg Config, now time.Duration) (*Quotas, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	q := &Quotas{
		cfg:       cfg,
		startedAt: now,
		pending:   map[uint64]pendingRequest{},
		accounts:  map[string]*account{},
	}
	for name, budget := range cfg.Budgets {
		q.accounts[name] = &account{share: budget / Amount(cfg.Size)}
	}
	return q, nil
}

// dropExpired drops the entries of an account that have expired.
func (q *Quotas) dropExpired(account *account, now time.Duration) {
	expired := func(e entry) bool { return e.expiresAt <= now }
	account.spent = slices.DeleteFunc(account.spent, expired)
	account.lent = slices.DeleteFunc(account.lent, expired)
	borrowedBefore := len(account.borrowed)
	account.borrowed = slices.DeleteFunc(account.borrowed, expired)
	q.expiredLoans += uint64(borrowedBefore - len(account.borrowed))
}

// lendable is the part of an account's share that may be lent.
func (q *Quotas) lendable(account *account) Amount {
	return Amount(float64(account.share) * q.cfg.LendableFraction)
}

// returnDelay is the time from a grant until the lent right returns: the loan is over on the slowest clock, and what
// was spent under it has left the window.
func (q *Quotas) returnDelay() time.Duration {
	switch q.omitted {
	case returnAfterSpend:
		return q.cfg.atLeast(q.cfg.LoanDuration)
	case returnAfterLoan:
		return q.cfg.Window
	default:
		return q.cfg.atLeast(q.cfg.LoanDuration + q.cfg.Window)
	}
}

// mayLend tells whether the loans of earlier processes in this one's place, which it does not know of, have expired.
func (q *Quotas) mayLend(now time.Duration) bool {
	return q.omitted == startQuarantine || now-q.startedAt >= q.cfg.atLeast(q.cfg.LoanDuration+q.cfg.Window)
}

// ownAmount is the part of its share that a process may spend or lend at a time.
func (q *Quotas) ownAmount(account *account, now time.Duration) Amount {
	if q.mayLend(now) {
		return account.share - sum(account.lent)
	}
	if now-q.startedAt < q.cfg.atLeast(q.cfg.Window) {
		return 0
	}
	return account.share - q.lendable(account)
}

// Available is what a process may spend of a budget now.
func (q *Quotas) Available(budget string, now time.Duration) Amount {
	account := q.accounts[budget]
	if account == nil {
		return 0
	}
	q.dropExpired(account, now)
	return q.ownAmount(account, now) + sum(account.borrowed) - sum(account.spent)
}

// Spend spends an amount of a budget, all of it or nothing, and tells whether it did.
func (q *Quotas) Spend(budget string, amount Amount, now time.Duration) bool {
	if amount <= 0 || q.Available(budget, now) < amount {
		return false
	}
	window := q.cfg.atLeast(q.cfg.Window)
	if q.omitted == fullWindow {
		window /= 2
	}
	account := q.accounts[budget]
	account.spent = append(account.spent, entry{amount: amount, expiresAt: now + window})
	return true
}

// Holding is what a process has of a budget at a time, for operators and metrics.
type Holding struct {
	Budget string
	// Share is the process's part of the budget, Own what it may spend or lend of that now.
	Share Amount
	Own   Amount
	// Lent and Borrowed are the loans to and from others that have not expired.
	Lent     Amount
	Borrowed Amount
	// Spent is what was spent in the last window.
	Spent Amount
	// ExpiredLoans counts the loans from others, of all budgets, that have expired.
	ExpiredLoans uint64
}

// Holdings are all budgets, by name.
func (q *Quotas) Holdings(now time.Duration) []Holding {
	var holdings []Holding
	for _, name := range slices.Sorted(maps.Keys(q.accounts)) {
		account := q.accounts[name]
		q.dropExpired(account, now)
		holdings = append(holdings, Holding{
			Budget:       name,
			Share:        account.share,
			Own:          q.ownAmount(account, now),
			Lent:         sum(account.lent),
			Borrowed:     sum(account.borrowed),
			Spent:        sum(account.spent),
			ExpiredLoans: q.expiredLoans,
		})
	}
	return holdings
}
