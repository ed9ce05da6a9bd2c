package quota

import "time"

// pendingRequest is a request of this process that has not been granted yet.
type pendingRequest struct {
	requestedAt time.Duration
	budget      string
	lender      string
	amount      Amount
}

// Request asks another process for a loan. Number identifies it among the requests of its borrower.
type Request struct {
	Budget   string
	Borrower string
	Lender   string
	Number   uint64
	Amount   Amount
}

// Grant is the response to a Request, with the same number. The amount may be less than requested.
type Grant struct {
	Budget   string
	Borrower string
	Lender   string
	Number   uint64
	Amount   Amount
}

// RequestLoan returns a request for a loan, which the caller sends to the lender. It returns false if too many requests
// are pending or the arguments are invalid.
func (q *Quotas) RequestLoan(budget, lender string, amount Amount, now time.Duration) (Request, bool) {
	q.dropLateRequests(now)
	if q.accounts[budget] == nil || amount <= 0 || lender == q.cfg.Process || len(q.pending) >= q.cfg.MaxLoans {
		return Request{}, false
	}
	q.lastNumber++
	q.pending[q.lastNumber] = pendingRequest{requestedAt: now, budget: budget, lender: lender, amount: amount}
	return Request{
		Budget:   budget,
		Borrower: q.cfg.Process,
		Lender:   lender,
		Number:   q.lastNumber,
		Amount:   amount,
	}, true
}

// dropLateRequests drops the pending requests whose loans would have expired already.
func (q *Quotas) dropLateRequests(now time.Duration) {
	for number, request := range q.pending {
		if now-request.requestedAt >= q.cfg.atMost(q.cfg.LoanDuration) {
			delete(q.pending, number)
		}
	}
}

// GrantLoan handles a request of another process. It lends the requested amount, or as much as it can while it keeps
// reserve for itself, and returns false if that is nothing. The amount counts as lent from now until returnDelay has
// passed, whether or not the grant reaches the borrower.
func (q *Quotas) GrantLoan(request Request, reserve Amount, now time.Duration) (Grant, bool) {
	account := q.accounts[request.Budget]
	if account == nil || request.Lender != q.cfg.Process || request.Borrower == q.cfg.Process || request.Amount <= 0 {
		return Grant{}, false
	}
	if len(account.lent) >= q.cfg.MaxLoans {
		return Grant{}, false
	}
	q.dropExpired(account, now)
	if !q.mayLend(now) {
		return Grant{}, false
	}
	amount := min(request.Amount, q.lendableNow(account, reserve, now))
	if amount <= 0 {
		return Grant{}, false
	}
	account.lent = append(account.lent, entry{amount: amount, expiresAt: now + q.returnDelay()})
	grant := Grant(request)
	grant.Amount = amount
	return grant, true
}

// lendableNow returns the amount that a process can lend while it keeps reserve for itself. It lends only from its own
// share, and everything that it spent in the last window counts as spent from that share.
func (q *Quotas) lendableNow(account *account, reserve Amount, now time.Duration) Amount {
	spent := sum(account.spent)
	if q.omitted == lendOnlyUnspent {
		spent = 0
	}
	unspent := q.ownAmount(account, now) - spent - max(0, reserve)
	return min(q.lendable(account)-sum(account.lent), unspent)
}

// AcceptGrant accepts a grant for a pending request of this process, and reports whether it did. The duration of the
// loan counts from the request, which was before the lender started to count.
func (q *Quotas) AcceptGrant(grant Grant, now time.Duration) bool {
	request, ok := q.pending[grant.Number]
	if !ok || grant.Borrower != q.cfg.Process || !request.matches(grant) {
		return false
	}
	account := q.accounts[grant.Budget]
	q.dropExpired(account, now)
	end := request.requestedAt + q.cfg.atMost(q.cfg.LoanDuration)
	if q.omitted == loanFromRequest {
		end = now + q.cfg.LoanDuration
	}
	if q.omitted != grantOnce {
		delete(q.pending, grant.Number)
	}
	if now >= end || len(account.borrowed) >= q.cfg.MaxLoans {
		return false
	}
	account.borrowed = append(account.borrowed, entry{amount: grant.Amount, expiresAt: end})
	return true
}

// matches reports whether a grant has the request's budget and lender, and at most its amount.
func (r pendingRequest) matches(grant Grant) bool {
	return grant.Budget == r.budget && grant.Lender == r.lender && grant.Amount > 0 && grant.Amount <= r.amount
}
