package lovagedispatch

import "time"

// Counters are totals since the core was created.
type Counters struct {
	JobsAdmitted uint64
	JobsRefused  uint64 // jobs refused at admission
	JobsExpired  uint64 // jobs whose deadline passed while some of their tasks were queued
	Starts       uint64
	NotStarted   uint64 // starts that ended with NotStarted
	Retries      uint64 // tasks queued again after NotStarted
	Ejections    uint64 // ejections of workers, including those after a failed probe
	Probes       uint64 // tasks started on a worker in the state probing
}

// Counters returns the counters for metrics.
func (co *Core) Counters() Counters {
	cs := co.counters
	cs.Starts = co.starts
	return cs
}

// WorkerStatus describes a worker in the status of its pool.
type WorkerStatus struct {
	Worker  string
	State   string    // "healthy", "ejected", "probing" or "leaving"
	ProbeAt time.Time // end of the back-off of an ejected worker, zero for others
	Factor  float64   // learned run time relative to a worker of average speed
	Slots   int
	Running int // tasks of this instance in flight on the worker
}

// Workers returns the status of the workers in the set, in the order of their IDs.
func (co *Core) Workers() []WorkerStatus {
	out := make([]WorkerStatus, 0, len(co.workerList))
	for _, wo := range co.workerList {
		st := WorkerStatus{
			Worker: wo.spec.ID, State: wo.stateName(), Factor: wo.slowdown, Slots: wo.spec.Slots, Running: wo.inFlight,
		}
		if wo.health.state == ejected && !wo.leaving {
			st.ProbeAt = co.timeOf(wo.health.probeAt)
		}
		out = append(out, st)
	}
	return out
}

func (wo *worker) stateName() string {
	switch {
	case wo.leaving:
		return "leaving"
	case wo.health.state == ejected:
		return "ejected"
	case wo.health.state == probing:
		return "probing"
	}
	return "healthy"
}
