// Package operator holds the HTTP interface for operators: the handler of the
// operator listener, and the client that the command line uses.
//
// The handler works against small interfaces that the node implements:
//
//	handler := operator.New(operator.Settings{
//		Configuration: store, Inspector: node, Logger: node, Metrics: metrics,
//	})
//
// A change to a template or a customer carries an identifier that the client
// makes. When a response is lost, the client sends the same change again, and
// the store applies it at most once:
//
//	client := operator.NewClient([]string{"127.0.0.1:7402"}, &http.Client{})
//	object, err := client.Commit(ctx, operator.Change{
//		ID: operator.NewChangeID(), Kind: operator.KindTemplate, Name: "golubarnik", Document: document,
//	})
//
// An error is an *Error; its Kind says whether the change was applied.
package operator
