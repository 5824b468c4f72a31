package budget

// Account holds the number of extra attempts that a request may still make; the zero value holds none.
type Account struct {
	held uint32
}

// NewAccount returns an account that holds the given number of extra attempts.
func NewAccount(extra uint32) Account { return Account{held: extra} }

// Held returns the number of extra attempts that are available to spend or lend.
func (a *Account) Held() uint32 { return a.held }

// Spend uses one extra attempt and reports whether one was available.
func (a *Account) Spend() bool {
	if a.held == 0 {
		return false
	}
	a.held--
	return true
}

// Lend takes half of the extra attempts, rounded up, and returns them as a loan for one attempt.
//
// Rounding up passes a single extra attempt down the path, where the failure is. A hop with more keeps the rest, because a
// loan is lost together with the response that would return it.
func (a *Account) Lend() Loan {
	n := a.held - a.held/2
	a.held -= n
	return Loan{amount: n}
}

// Return adds the unused attempts of a loan and closes it; it adds at most the amount lent, and nothing for a closed loan.
func (a *Account) Return(l *Loan, unused uint32) {
	a.held += min(unused, l.amount)
	l.amount = 0
}

// Loan is the number of extra attempts lent to one attempt; a loan that is never returned counts as spent.
type Loan struct {
	amount uint32
}

// Amount returns the number of extra attempts lent, or zero after the loan was returned.
func (l Loan) Amount() uint32 { return l.amount }
