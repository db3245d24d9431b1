// Package lovagehistory records concurrent runs and checks afterwards that they could have happened one operation at
// a time.
//
// The package exists because the invariants of docs/design.md concern many processes at once: whether a task started
// twice or a configuration went back can be judged only from what all clients, workers and instances saw. A
// [Recorder] writes each operation as JSON lines, one at the call and one at the response, so that the record of a
// process that was killed keeps the operations that were open. [Read] joins the lines of all processes; [CheckJobs],
// [CheckConfiguration] and [CheckOwnership] judge them with porcupine. The package drives no system, and it cannot
// prove that a run was thorough, only that nothing it recorded was wrong.
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
// All processes of a run must be on one machine, because their wall clocks are compared.
package lovagehistory
