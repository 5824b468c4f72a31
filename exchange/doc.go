// Package exchange sends HTTP requests and reads the responses of programs that may be in trouble.
//
// net/http passes on responses that are not in the protocol: a status outside of 100 to 599, a field name with a blank in it, or a body that ends with its connection although that was reset. Transport refuses such a response, so that no client of the project
// takes it for one of the program that it called. Every HTTP client of the project uses Transport.
package exchange
