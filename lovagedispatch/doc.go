// Package lovagedispatch is the decision core of an entry instance: it decides which job is admitted, which task
// starts next and on which worker.
//
// The package exists so that every such decision is made in one deterministic place. [Core] takes events and returns
// commands; the same settings, seed and events give the same commands. It reads no clock, opens no socket and starts
// no goroutine. It holds no payloads, no results and no keys: a job is a number given by the integrator, a task is
// its index in the job. Whether a key may be started is not its concern; the ledger decides that before [Submit].
//
// A task starts at most once: [StartTask] is repeated for a task only after [TaskEnded] with [NotStarted]. A
// [FinishJob] with outcome notRun is emitted only if no StartTask was emitted for the job or each of them has ended
// with NotStarted.
//
// # Queue
//
// A job is one record, however many tasks it has. Jobs of a service that the same groups of workers may run form a
// class; a group is the set of workers of one pool, data centre and size. Within a class, the team with the least
// virtual time is next, and within a team the job with the least remaining work, with ageing. A team at its quota is
// taken out of the class. A start costs O(log n) in workers, teams and queued jobs, and linear time in the
// number of classes with queued jobs, of groups of the service and of classes in which the team has jobs.
//
// # Workers
//
// The free slot with the least expected completion time is used: the learned run time of the service times the learned
// speed factor of the worker, plus a round trip to another data centre. It is left idle if the task is expected to
// complete at least a tenth sooner by waiting for a faster one. Declared sizes decide which workers may run a job; a
// slot is the only resource that is counted. A worker that refuses a task gets no task until a back-off ends. Failures
// lower the rank of a worker, and eject it if they are unlikely for a worker as good as the others; at most a fifth of
// a pool is ejected. A failure does not count against a worker if a third of the jobs of its service or team fail, or
// if a third of the pool's other workers do.
//
// # Usage
//
//	core := lovagedispatch.New(lovagedispatch.DefaultSettings("entry-1", "kandla"), rand.New(rand.NewPCG(1, 2)))
//	out := core.Step(now, lovagedispatch.WorkersChanged{Workers: workers}, nil)
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
// The caller must pass times that never go backwards and must call Step from one goroutine at a time.
package lovagedispatch
