// Package operator implements the HTTP interface for operators: the handler of
// the operator listener, and the client that the command line uses.
//
// The handler depends on small interfaces that the node implements:
//
//	handler := operator.New(operator.Dependencies{
//		Configuration: store, Inspector: node, LevelSetter: node, Metrics: metrics,
//	})
//
// A change to a template or a customer has an identifier that the client
// generates. When a response is lost, the client resends the same change, and
// the store applies it at most once:
//
//	client := operator.NewClient([]string{"127.0.0.1:7402"}, &http.Client{})
//	object, err := client.Commit(ctx, operator.Change{
//		ID: operator.NewChangeID(), Kind: operator.KindTemplate, Name: "golubarnik", Document: document,
//	})
//
// Errors are of type *Error; its Kind says whether the change was applied.
package operator
