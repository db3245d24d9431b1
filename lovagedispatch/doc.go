// Package lovagedispatch is the decision core of an entry instance: it decides which job is admitted, which task
// starts next and on which worker.
//
// The package exists so that every such decision is made in one deterministic place. [Core] takes events and returns
// commands; the same settings, seed and events give the same commands. It reads no clock, opens no socket and starts
// no goroutine. It holds no payloads, no results and no keys: a job is a number given by the integrator, a task is
// its index in the job. It does not know whether a key may be started; the ledger answers that before [Submit].
//
// A task starts at most once: [StartTask] is repeated for a task only after [TaskEnded] with [NotStarted]. A
// [FinishJob] with outcome notRun is given only if every StartTask of the job has ended with NotStarted, or there was
// none.
//
// # Usage
//
//	core := lovagedispatch.New(lovagedispatch.DefaultSettings("entry-1", "kandla"), rand.New(rand.NewPCG(1, 2)))
//	out := core.Step(now, lovagedispatch.MembersChanged{Members: members}, nil)
//	out = core.Step(now, lovagedispatch.WorkersChanged{Workers: workers}, out[:0])
//	out = core.Step(now, lovagedispatch.ServicesChanged{Services: services}, out[:0])
//	out = core.Step(now, lovagedispatch.Submit{Job: 1, Service: "ticket", Team: "gate", Deadline: dl, Tasks: 3}, out[:0])
//	for _, co := range out {
//		switch co := co.(type) {
//		case lovagedispatch.StartTask: // send the task, later step with TaskEnded
//		case lovagedispatch.FinishJob: // answer the caller
//		case lovagedispatch.WakeAt: // step with Tick at that time
//		}
//	}
//
// The caller passes a time that never goes backwards and steps from one goroutine at a time.
package lovagedispatch
