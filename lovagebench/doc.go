// Package lovagebench measures the dispatch policies against each other.
//
// The package exists so that every claim about response time and wasted messages can be repeated with one command. It
// runs whole deployments in real time inside one process: a platform stand-in with the latency of the users' platform,
// stand-in workers whose tasks sleep, and real entry instances with their API servers, all joined by loopback TCP. One
// deployment per [Variant] is warmed up, so that speeds and run times are learned, and then takes the same seeded
// open-loop loads as the others. Every row also checks that no task was started twice and no answer was partial.
//
// It does not judge times: [Report.Violations] concerns the invariants only.
//
// # Latency
//
// [Options.Latency] adds the one-way latency that the users state: 1.4 ms between instances, and between an instance and
// a worker, of different data centres, and 1 ms between callers and instances. Only the dialling side of a connection is
// wrapped, which delays both directions without limiting the throughput. The platform stand-in has its own latency.
//
// The ideal counts one round trip between a caller and a worker that it calls directly, measured over a connection with
// the latency to callers. Measured jobs have the same round trip to their instance. What the dispatcher adds, such as
// the way to a worker or a peer of another data centre, is no part of the ideal.
//
// # Messages
//
// Counts are taken over the measured part of a row and divided by the tasks of its jobs:
//
//	useful     tasks started (workers' Started, less the duplicates), submissions of callers, batches of accepted keys
//	           and of results sent to replicas (peer_requests_sent of kinds accept and resultCopy)
//	refused    task requests that workers answered as not started (workers' Refused)
//	probed     asks for slots and returns of slots between instances (peer_requests_sent slotsAsk and slotsReturn)
//	forwarded  submissions, cancellations and key requests sent on by instances (peer_requests_sent submit, cancel, mint)
//	polled     questions about a key sent on by instances (peer_requests_sent ask), and questions to a silent owner by the
//	           clients of callers that use addresses; callers wait instead of polling
//	duplicate  tasks started more often than once, and submissions that callers repeated
//	           or that fell back from the owner's address
//
// Response over ideal compares with the slots that are free when a job is sent and can be below 1; mean/bound compares
// with what no dispatcher can beat on idle workers (lovageload.ResponseTimeBound).
//
// Heartbeats, requests to the table and the instance list are sent at a fixed rate whatever the load. They are no part
// of the wasted messages and are printed as messages a second.
//
// # Usage
//
//	report, err := lovagebench.Run(ctx, lovagebench.Full(), os.Stderr)
//	if err != nil {
//		return err
//	}
//	err = report.Write(os.Stdout)
package lovagebench
