// Package lovageledger decides which instance may start a key, and records the outcome of its job.
//
// A job that may not be repeated must start at most once across all instances, but the table takes far fewer writes
// than jobs arrive. Keys are therefore grouped into ranges. A table row names the owner, the replica and the epoch of
// each range. Rules A to F of docs/design.md say when an instance may start a key (A), and how a range gets another
// owner (B, C, F) or replica (D, E). [Ledger] is the state machine that applies these rules for the ranges that an
// instance owns or replicates. It does no I/O, reads no clock and starts no goroutine. It does not choose workers or
// hold submissions, and knows a job's content only by its fingerprint.
//
// # Usage
//
//	le := lovageledger.New(lovageledger.Settings{Instance: "kandla-1", DataCentre: "kandla", Rand: rng})
//	for ev := range events {
//		for _, co := range le.Step(time.Now(), ev, nil) {
//			// Carry out the command. Outcomes come back as events.
//		}
//	}
//
// The program that drives the Ledger must follow these rules:
//
//   - A restarted process uses a new instance ID.
//   - A Tick is sent to the Ledger at least every 100 ms.
//   - A transaction that failed is reported as Conflict only if it has not taken effect and never will, otherwise as
//     Ambiguous.
//   - The program holds a submission until its key is admitted. If it no longer holds the submission at that time, it
//     reports JobEnded with NotRun at once.
//   - Every Admit is followed by exactly one JobEnded, whose outcome is NotRun only if no task was started.
//   - Messages may be lost, duplicated, delayed and reordered, but are never altered.
//
// # Load on the table
//
// In the steady state an instance causes 0.5 writes a second (the renewal of its instance row) and 0.07 reads a second
// (two prefix reads every 30 s). It reads both prefixes every 2 s (1 read a second) while the owner of a range that it
// replicates is not live, or while it needs a further range and any owner is not live. A claim, a take-over and each
// change of a replica take one write each and at most one read. Reads on demand are limited to 5 a second, and to 1 a
// second while the table fails.
package lovageledger
