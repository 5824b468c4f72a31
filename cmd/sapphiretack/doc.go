// Sapphiretack runs a node of the overload control layer, and is the command
// line for operators.
//
//	sapphiretack node --deployment deployments/golubarnik/deployment.json --instance racedesk-1
//	sapphiretack template publish golubarnik deployments/golubarnik/template.json
//	sapphiretack mesh --settings /etc/sapphiretack/node.json
//	sapphiretack status
//
// The exit status is one of:
//
//	0  success
//	1  the node ended with an error, or a file cannot be read
//	2  the command line is invalid
//	3  a file is invalid; each problem is printed with its line and column
//	4  the revision is not the current one, and nothing was changed
//	5  the request was refused or no node responds, and nothing was changed
//	6  the change may have been applied; send it again with the printed identifier
package main
