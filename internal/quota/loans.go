package quota

import "time"

// pendingRequest is a request of this process without a grant yet.
type pendingRequest struct {
	requestedAt time.Duration
	budget      string
	lender      string
	amount      Amount
}

// Request is a request to another process for a loan. Number identifies it among the requests of its borrower.
type Request struct {
	Budget   string
	Borrower string
	Lender   string
	Number   uint64
	Amount   Amount
}

// Grant answers a Request, with its number; the amount may be less than requested.
type Grant struct {
	Budget   string
	Borrower string
	Lender   string
	Number   uint64
	Amount   Amount
}

// RequestLoan makes a request for a loan of an amount; false: too many are pending, or it makes no sense.
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

// dropLateRequests drops the pending requests whose loans would be over.
func (q *Quotas) dropLateRequests(now time.Duration) {
	for number, request := range q.pending {
		if now-request.requestedAt >= q.cfg.atMost(q.cfg.LoanDuration) {
			delete(q.pending, number)
		}
	}
}

// GrantLoan answers a request of another process: it lends what it can beside reserve, at the most what is requested.
// The right is lent from now on, whether or not the grant arrives, until returnDelay has passed.
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

// lendableNow is what a process can lend beside reserve: only of its own share, where all that it has spent in the
// last window counts as spent of that.
func (q *Quotas) lendableNow(account *account, reserve Amount, now time.Duration) Amount {
	spent := sum(account.spent)
	if q.omitted == lendOnlyUnspent {
		spent = 0
	}
	unspent := q.ownAmount(account, now) - spent - max(0, reserve)
	return min(q.lendable(account)-sum(account.lent), unspent)
}

// AcceptGrant uses a grant, if it answers a pending request of this process, and tells whether it did. The loan
// counts from the request, which was before the lender's count began.
func (q *Quotas) AcceptGrant(grant Grant, now time.Duration) bool {
	request, ok := q.pending[grant.Number]
	if !ok || grant.Borrower != q.cfg.Process || !request.isAnsweredBy(grant) {
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

// isAnsweredBy tells whether a grant has the request's budget and lender and not more than its amount.
func (r pendingRequest) isAnsweredBy(grant Grant) bool {
	return grant.Budget == r.budget && grant.Lender == r.lender && grant.Amount > 0 && grant.Amount <= r.amount
}
