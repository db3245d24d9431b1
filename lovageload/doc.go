// Package lovageload generates load and measures responses.
//
// It compares versions of the dispatcher under the same seeded workload. Load is open-loop: each job is sent at its
// intended time even if earlier jobs are unanswered, and its response time counts from the intended time. Otherwise a
// slow system could hide its delay by slowing the generator (coordinated omission). The system under test is a [Target].
//
// # Usage
//
//	model := lovageload.DefaultModel(1)
//	workers := []lovageload.Worker{{Speed: 1, Slots: 8}, {Speed: 2, Slots: 8}}
//	model.Rate = model.RateForLoad(0.6, workers)
//	report, err := lovageload.Run(ctx, lovageload.Options{
//		Name: "load 0.6", Model: model, Target: target,
//		FreeWorkers: func() []lovageload.Worker { return workers }, RoundTrip: time.Millisecond,
//	})
//	err = lovageload.WriteTable(os.Stdout, []*lovageload.Report{report})
package lovageload
