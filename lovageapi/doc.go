// Package lovageapi serves the caller API and the operator API over HTTP, and holds the client for both.
//
// The package exists so that input is judged completely before anything is started, and so that what an instance
// knows about a job or a change reaches the caller unaltered: an outcome is never guessed, results are never mixed or
// cut, and a refusal that says "not run" comes only from the code that may decide it. Jobs and resources are reached
// through the interfaces declared here; the package keeps no state about either.
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
//	caller.Drain()                    // tells clients to leave, while the balancer's list lags
//	err = caller.Shutdown(ctx)        // ends watches, waits for requests in progress
package lovageapi
