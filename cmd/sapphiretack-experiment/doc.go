// Sapphiretack-experiment runs overload experiments in virtual time.
//
//	sapphiretack-experiment --scenario surge10 --variant sapphiretack
//	sapphiretack-experiment --trees
//
// It prints a table with a row for each run, or JSON documents with --json.
// The exit status is 2 on an error.
package main
