// Package budget implements retry budgets. An Account bounds the extra attempts
// of one request across its whole call tree. A Limiter bounds the retries of one
// source to a share of its successful calls to each service, plus a few retries
// that need no success.
//
// The first node of a request opens its account. Each hop lends part of the
// extra attempts in its account to the attempt that it sends, and the response
// returns those that were not used:
//
//	account := requests.Open(now, customer, id, 1, 3)
//	loan := account.Lend()
//	// send the attempt with loan.Amount()
//	account.Return(&loan, returned)
//	if limiter.Allow(now, service) && account.Spend() {
//		// send a further attempt
//	}
//
// A loan that is never returned counts as spent, so the extra attempts in all
// accounts of a request together never exceed the initial number.
package budget
