// Sapphiretack-load sends load to a deployment and checks the outcomes.
//
//	sapphiretack-load send --deployment deployments/golubarnik-small/deployment.json \
//	  --mix deployments/golubarnik-small/load.json --customer sofia-club --callers 60 --rate 200 --duration 5s
//	sapphiretack-load twice -- run/executions-*.jsonl
//	sapphiretack-load trace -- run/spans-*.json
//	sapphiretack-load counters --deployment deployments/golubarnik-small/deployment.json
//
// The exit status is 0 on success, 1 on an error, 2 if the command line is
// invalid, and 3 if an effect ran twice or a response was wrong.
package main
