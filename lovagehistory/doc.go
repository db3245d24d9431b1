// Package lovagehistory records the operations of concurrent runs and checks afterwards that they are linearizable.
//
// The invariants of docs/design.md concern many processes at once. Only the combined view of all clients, workers and
// instances shows whether a task started twice or a configuration was rolled back. A [Recorder] writes two JSON lines
// per operation, one at the call and one at the response, so that the calls of a killed process are not lost. [Read]
// merges the lines of all processes; [CheckJobs], [CheckConfiguration] and [CheckOwnership] check them with porcupine.
// The package does not drive the system under test, and it cannot prove that a run covered enough, only that the
// recorded operations were correct.
//
// # Usage
//
//	re := lovagehistory.NewRecorder("caller-3", file)
//	done := re.Begin(lovagehistory.Operation{Kind: lovagehistory.Submit, Key: key, Content: digest})
//	answer := submit()
//	done(lovagehistory.Result{Outcome: string(answer.Outcome), Key: answer.Key.String(), Tasks: answer.Tasks})
//
//	ops, err := lovagehistory.Read(files...)
//	err = lovagehistory.CheckJobs(ops)
//
// All processes of a run must be on one machine, because timestamps from their wall clocks are compared.
package lovagehistory
