// Package lovagebench compares dispatch policies by measurement.
//
// The package makes every claim about response time and wasted messages reproducible with one command. It runs whole
// deployments in real time inside one process: a platform stand-in with the latency of the users' platform, stand-in
// workers whose tasks sleep, and real entry instances with their API servers, connected over loopback TCP. Each
// [Variant] has its own deployment, which learns speeds and run times in a warm-up. All deployments then receive the
// same seeded open-loop loads. Every row is also checked for tasks started twice and for partial answers.
//
// [Report.Violations] lists violations of invariants only, never slow response times.
//
// # Latency
//
// [Options.Latency] adds the one-way latency that the users state: 1.4 ms from an instance to an instance or worker of
// another data centre, and 1 ms between callers and instances. Only the dialling side of a connection is wrapped. The
// wrapper delays both directions without limiting the throughput. The platform stand-in has its own latency.
//
// The ideal response time includes the round trip of a direct call from a caller to a worker, with the latency of callers.
// Measured jobs have the same round trip to their instance. The ideal does not include what the dispatcher adds, such as
// the latency to a worker or a peer in another data centre.
//
// # Messages
//
// Messages are counted in the measured part of a row and divided by the number of its tasks:
//
//	useful     tasks started (workers' Started, less the duplicates), first submissions of callers, batches of accepted
//	           keys and of results sent to replicas (peer_requests_sent of kinds accept and resultCopy)
//	refused    task requests that workers answered as not started (workers' Refused)
//	probed     requests for slots and returns of slots between instances (peer_requests_sent slotsAsk and slotsReturn)
//	forwarded  submissions, cancellations and key requests forwarded by instances (peer_requests_sent submit, cancel, mint)
//	polled     status requests for a key forwarded by instances (peer_requests_sent ask), and probes of an owner that does not
//	           answer, by clients that use the owner's address; callers never poll
//	duplicate  repeated starts of a task, and submissions that callers repeated or that fell back from the owner's address
//
// The ideal uses only the slots that are free when a job is sent. A job may also use slots that become free later, so
// response over ideal can be below 1. The column mean/bound uses the lower bound for any dispatcher on idle workers
// (lovageload.ResponseTimeBound).
//
// The rate of heartbeats, copies of estimates, and table reads and writes does not depend on the load. These messages
// are not counted as wasted. They are printed as messages per second.
//
// # Usage
//
//	report, err := lovagebench.Run(ctx, lovagebench.FullOptions(), os.Stderr)
//	if err != nil {
//		return err
//	}
//	err = report.Write(os.Stdout)
package lovagebench
