// Package lovageload generates load and measures responses.
//
// The package exists to compare versions of the dispatcher under the same seeded workload. Load is open-loop: jobs are
// sent at their intended times whether or not earlier ones have been answered, and response times count from the
// intended time, so that a slow system cannot hide its delay by slowing the generator (coordinated omission). The
// package knows nothing of the system under test but its [Target].
//
// # Usage
//
//	model := lovageload.DefaultModel(1)
//	workers := []lovageload.Worker{{Speed: 1, Slots: 8}, {Speed: 2, Slots: 8}}
//	model.Rate = model.RateForLoad(0.6, workers)
//	report, err := lovageload.Run(ctx, lovageload.Options{
//		Name: "load 0.6", Model: model, Target: target,
//		Free: func() []lovageload.Worker { return workers }, RoundTrip: time.Millisecond,
//	})
//	err = lovageload.WriteTable(os.Stdout, []*lovageload.Report{report})
package lovageload
