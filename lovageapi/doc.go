// Package lovageapi serves the caller API and the operator API over HTTP, and provides the client for both.
//
// The package validates a request completely before anything is started. It returns what an instance knows about a job
// or a resource change unaltered. It never guesses an outcome, never mixes up or truncates results, and never decides
// itself that a job is "not run". The package reaches jobs and resources through the interfaces declared here and keeps
// no state about either.
//
// docs/api.md describes every call with an example that a test runs.
//
// # Usage
//
//	caller, err := lovageapi.NewCallerServer(se, jobs, log)
//	operator, err := lovageapi.NewOperatorServer(se, resources, health, log)
//	err = caller.Listen("10.0.0.1:7001")
//	supervisor.Add(caller)
//	// on SIGTERM:
//	caller.Drain()             // asks clients to close connections while the balancer still lists the instance
//	err = caller.Shutdown(ctx) // ends watches and waits for requests in progress
package lovageapi
