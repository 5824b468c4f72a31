package budget

// Account holds the extra attempts that a request may still make; the zero value holds none.
type Account struct {
	held uint32
}

// NewAccount returns an account that holds the given number of extra attempts.
func NewAccount(extra uint32) Account { return Account{held: extra} }

// Held returns the number of extra attempts that can be spent or lent now.
func (a *Account) Held() uint32 { return a.held }

// Spend takes one extra attempt and reports whether the account held one.
func (a *Account) Spend() bool {
	if a.held == 0 {
		return false
	}
	a.held--
	return true
}

// Lend takes the larger half of what is held and returns it as a loan for one attempt.
//
// A single extra attempt goes down the path, where the failure is; a hop that holds more keeps some, because a loan is lost together with the
// response that would return it.
func (a *Account) Lend() Loan {
	n := a.held - a.held/2
	a.held -= n
	return Loan{amount: n}
}

// Return adds what is left of a loan and settles it; at most the amount lent is added, and a second return adds nothing.
func (a *Account) Return(l *Loan, left uint32) {
	a.held += min(left, l.amount)
	l.amount = 0
}

// Loan is a number of extra attempts that went out with one attempt; a loan that is never returned counts as spent.
type Loan struct {
	amount uint32
}

// Amount returns the extra attempts lent, or zero after the loan was returned.
func (l Loan) Amount() uint32 { return l.amount }
