// Package lovagebench compares the dispatch policies by measurement.
//
// It makes every claim about response time and wasted messages reproducible with one command. It runs complete
// deployments in real time inside one process: a platform stand-in with the latency of the users' platform, stand-in
// workers whose tasks sleep, and real entry instances with their API servers, all connected over loopback TCP. One
// deployment per [Variant] is warmed up, so that it learns speeds and run times, and then receives the same seeded
// open-loop loads as the others. Every row is also checked for tasks started twice and for partial answers.
//
// [Report.Violations] lists violations of these invariants only. Times never count as violations.
//
// # Latency
//
// [Options.Latency] adds the one-way latency that the users state: 1.4 ms between instances, and between an instance and
// a worker, of different data centres, and 1 ms between callers and instances. Only the dialling side of a connection is
// wrapped. It delays both directions without limiting the throughput. The platform stand-in has its own latency.
//
// The ideal counts one round trip between a caller and a worker that it calls directly, measured over a connection with
// the latency to callers. Measured jobs have the same round trip to their instance. The ideal does not include what the
// dispatcher adds, such as the latency to a worker or a peer in another data centre.
//
// # Messages
//
// Counts are taken over the measured part of a row and divided by the tasks of its jobs:
//
//	useful     tasks started (workers' Started, less the duplicates), submissions of callers, batches of accepted keys
//	           and of results sent to replicas (peer_requests_sent of kinds accept and resultCopy)
//	refused    task requests that workers answered as not started (workers' Refused)
//	probed     requests for slots and returns of slots between instances (peer_requests_sent slotsAsk and slotsReturn)
//	forwarded  submissions, cancellations and key requests forwarded by instances (peer_requests_sent submit, cancel, mint)
//	polled     status requests for a key forwarded by instances (peer_requests_sent ask), and probes of an owner that does not
//	           answer, by clients that use the owner's address; callers wait instead of polling
//	duplicate  repeated starts of a task, and submissions that callers repeated or that fell back from the owner's address
//
// Response over ideal is relative to the slots that are free when a job is sent and can be below 1. The column mean/bound
// is relative to the lower bound for any dispatcher on idle workers (lovageload.ResponseTimeBound).
//
// Heartbeats and requests to the table and the instance list are sent at a fixed rate, independent of the load. They do
// not count as wasted messages and are printed as messages per second.
//
// # Usage
//
//	report, err := lovagebench.Run(ctx, lovagebench.FullOptions(), os.Stderr)
//	if err != nil {
//		return err
//	}
//	err = report.Write(os.Stdout)
package lovagebench
