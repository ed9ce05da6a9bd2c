// Package quota divides fleet-wide budgets among the agents of a fleet. Each agent has a quota of each budget, and
// agents lend parts of their quotas to each other. Loans expire without a message.
//
// The package maintains this invariant: the total that all processes of the fleet spend of a budget in any window of
// length Window never exceeds the budget. It holds whatever messages are lost, duplicated, delayed or forged, and
// whichever processes are partitioned, stop, stall or restart without their state, as long as each process's clock runs
// within MaxClockDrift of true time and no two processes of one agent participate at the same time (internal/membership
// makes the second one wait for the address). The state of each process is bounded, whatever others send.
//
// The design is the bounded counter of Balegas et al. ("Extending Eventually Consistent Cloud Databases for Enforcing
// Numeric Invariants", 2015): the budget is split into equal shares, one per configured agent, and only the owner of a
// right can transfer it. In the paper, the rights of a crashed replica are lost until it returns. Here each loan has an
// end that both sides determine by their own clocks, so that a lent right returns to its owner without a message.
//
// The alternative of a lease holder that grants every spend was rejected: only the majority side of a partition could
// spend, and each spend would have to wait for a response.
package quota

import (
	"maps"
	"slices"
	"time"
)

// Amount is an amount in thousandths of a unit, because in a large fleet one agent's share can be less than a unit.
type Amount int64

// Unit is one unit of a budget.
const Unit Amount = 1000

// Quotas holds the quotas of one process. All methods take the time of this process's monotonic clock, with any origin.
// It is not safe for concurrent use.
type Quotas struct {
	cfg          Config
	startedAt    time.Duration
	pending      map[uint64]pendingRequest // by number
	lastNumber   uint64
	accounts     map[string]*account // by budget
	expiredLoans uint64
	omitted      rule // for the model check
}

// rule is a rule of the protocol that the model check can omit, to show that it detects the violation.
type rule int

const (
	noRule           rule = iota
	startQuarantine       // a process doesn't use what its predecessor may have spent or lent until that has expired
	fullWindow            // a spend counts for the whole window
	lendOnlyUnspent       // an amount that was spent is not lent
	returnAfterSpend      // a lender uses a lent amount again only once the borrower's spends are outside the window
	returnAfterLoan       // a lender uses a lent amount again only once the loan has ended by the slowest clock
	loanFromRequest       // the duration of a loan counts from its request, not from its grant
	grantOnce             // a grant is accepted at most once
)

// account is the state of one budget in a process.
type account struct {
	share    Amount
	spent    []entry // each expires when it is outside the window even by the slowest clock
	lent     []entry // each expires when this process may use the amount again
	borrowed []entry // each expires at the end of the loan
}

// entry is an amount that expires at a time of this process's clock.
type entry struct {
	amount    Amount
	expiresAt time.Duration
}

// sum returns the total amount of the entries.
func sum(entries []entry) Amount {
	var total Amount
	for _, e := range entries {
		total += e.amount
	}
	return total
}

// New returns the Quotas of a process that starts, or takes over from another process of its agent, at the given time.
// It can't spend anything for one window, because its predecessor may have spent the agent's share.
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

// dropExpired drops the expired entries of an account.
func (q *Quotas) dropExpired(account *account, now time.Duration) {
	expired := func(e entry) bool { return e.expiresAt <= now }
	account.spent = slices.DeleteFunc(account.spent, expired)
	account.lent = slices.DeleteFunc(account.lent, expired)
	borrowedBefore := len(account.borrowed)
	account.borrowed = slices.DeleteFunc(account.borrowed, expired)
	q.expiredLoans += uint64(borrowedBefore - len(account.borrowed))
}

// lendable returns the part of an account's share that may be lent.
func (q *Quotas) lendable(account *account) Amount {
	return Amount(float64(account.share) * q.cfg.LendableFraction)
}

// returnDelay returns how long after granting a loan the lender may use the lent amount again. By then the loan has
// expired even by the slowest clock, and everything that was spent under it is outside the window.
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

// mayLend reports whether all loans that earlier processes of this agent may have granted have expired.
func (q *Quotas) mayLend(now time.Duration) bool {
	return q.omitted == startQuarantine || now-q.startedAt >= q.cfg.atLeast(q.cfg.LoanDuration+q.cfg.Window)
}

// ownAmount returns the part of its share that a process may spend or lend at the given time.
func (q *Quotas) ownAmount(account *account, now time.Duration) Amount {
	if q.mayLend(now) {
		return account.share - sum(account.lent)
	}
	if now-q.startedAt < q.cfg.atLeast(q.cfg.Window) {
		return 0
	}
	return account.share - q.lendable(account)
}

// Available returns the amount that the process may spend of a budget now.
func (q *Quotas) Available(budget string, now time.Duration) Amount {
	account := q.accounts[budget]
	if account == nil {
		return 0
	}
	q.dropExpired(account, now)
	return q.ownAmount(account, now) + sum(account.borrowed) - sum(account.spent)
}

// Spend spends an amount of a budget if all of it is available, and reports whether it did.
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

// Holding is the state of a budget in a process at a given time, for operators and metrics.
type Holding struct {
	Budget string
	// Share is the process's part of the budget; Own is the part of it that the process may spend or lend now.
	Share Amount
	Own   Amount
	// Lent and Borrowed are the total amounts of unexpired loans to and from other processes.
	Lent     Amount
	Borrowed Amount
	// Spent is the amount that was spent in the last window.
	Spent Amount
	// ExpiredLoans is the number of expired loans from other processes, of all budgets.
	ExpiredLoans uint64
}

// Holdings returns the state of all budgets, ordered by name.
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
