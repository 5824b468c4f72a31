// Package budget bounds the retries of one request over its whole call tree.
//
// A first node opens an Account for a request. A hop lends part of what the
// account holds with each attempt, and the response returns what is left:
//
//	account := requests.Open(now, customer, id, 1, 3)
//	loan := account.Lend()
//	// send the attempt with loan.Amount()
//	account.Return(&loan, returned)
//	if ratio.Allow(now, service) && account.Spend() {
//		// send a further attempt
//	}
//
// A loan that is never returned counts as spent, so the extra attempts held
// in all accounts of a request never exceed the number that it started with.
package budget
