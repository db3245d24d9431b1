// Package lovagedispatch is the decision core of an entry instance: it decides which job is admitted, which task
// starts next and on which worker.
//
// [Core] takes events and returns commands. It is deterministic: the same settings, seed and events give the same
// commands. It reads no clock, opens no socket, starts no goroutine, and holds no payloads, results or keys. The
// integrator, the program that drives a Core, names a job by a number and a task by its index in the job. The ledger
// decides whether a key may be started, before the integrator sends [Submit].
//
// A task starts at most once: [StartTask] is emitted for the same task again only after [TaskEnded] with [NotStarted].
// [FinishJob] has the outcome notRun only if no StartTask was emitted for the job, or if each of them ended with
// NotStarted.
//
// # Queue
//
// A job is one record, however many tasks it has. A group is the set of workers of one pool, data centre and size.
// Jobs of a service that the same groups may run form a class. Within a class, the team with the least virtual time is
// next, and within a team the job with the least remaining work, reduced as the job waits (ageing). A team at its
// quota is taken out of the class. A start costs O(log n) in workers, teams and queued jobs, and linear time in the
// number of classes with queued jobs, of groups of the service and of classes in which the team has jobs.
//
// # Workers
//
// A task goes to the free slot with the least expected completion time: the learned run time of the service times the
// learned slowdown of the worker, plus a round trip if the worker is in another data centre. The slot is left idle
// if the task is expected to complete at least a tenth sooner by waiting for a faster slot. Declared sizes decide
// which workers may run a job; a slot is the only resource that is counted. A worker that refuses a task gets no task
// until a back-off ends. Failures lower the rank of a worker, and eject the worker if they are unlikely for one as
// good as the others; at most a fifth of a pool is ejected. A failure does not count against a worker if a third of
// the jobs of the service or team fail, or if a third of the pool's other workers do.
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
