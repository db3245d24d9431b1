package lovagemember

import (
	"cmp"
	"slices"
	"time"

	"lovagestack/lovageplatform"
)

// worker is what is known about one worker. A worker that no pool declares is kept while it is listed or marked, so
// that a mark is not lost when a pool is declared again.
type worker struct {
	declared   bool
	dataCentre string
	address    string
	known      time.Time

	listedDataCentre, listedAddress string // by the last list that named it; used where the pool leaves them out

	leaving   bool // sticky mark
	firstHand bool // the mark came from the list or a reply, or its source is not live any more; only such marks are passed on
	listed    bool // in the last list
	unlisted  bool // missed in a list since the mark, after it had been listed
}

func (co *Core) worker(id string) *worker {
	wo := co.workers[id]
	if wo == nil {
		wo = &worker{}
		co.workers[id] = wo
	}
	wo.known = co.now
	return wo
}

func (co *Core) poolsChanged(ev PoolsChanged) {
	declared := make([]string, 0, len(ev.Workers))
	isNew := make(map[string]struct{}, len(ev.Workers))
	for _, de := range ev.Workers {
		if de.Worker == "" {
			continue
		}
		if _, ok := isNew[de.Worker]; !ok {
			isNew[de.Worker] = struct{}{}
			declared = append(declared, de.Worker)
		}
		wo := co.worker(de.Worker)
		if !wo.declared || wo.dataCentre != de.DataCentre || wo.address != de.Address {
			wo.declared, wo.dataCentre, wo.address = true, de.DataCentre, de.Address
			co.workersChanged = true
		}
	}
	for _, id := range co.declared {
		if _, ok := isNew[id]; !ok {
			co.workers[id].declared = false
			co.workersChanged = true
		}
	}
	slices.Sort(declared)
	co.declared = declared
}

// listWorkers applies the workers of a list. A list never takes a mark away by showing a worker as live, because it
// lags. Only a worker that was listed, then missing and then live again has registered anew.
func (co *Core) listWorkers(list []lovageplatform.Instance) {
	listed := make(map[string]struct{}, len(co.workers))
	for _, in := range list {
		if in.Kind != lovageplatform.KindWorker || in.ID == "" {
			continue
		}
		if _, twice := listed[in.ID]; twice {
			continue
		}
		listed[in.ID] = struct{}{}
		wo := co.worker(in.ID)
		wo.listed = true
		if wo.listedAddress != in.Address || wo.listedDataCentre != in.DataCentre {
			wo.listedAddress, wo.listedDataCentre = in.Address, in.DataCentre
			if wo.declared && (wo.address == "" || wo.dataCentre == "") {
				co.workersChanged = true
			}
		}
		if in.State == lovageplatform.StateLeaving {
			wo.unlisted = false
			co.markLeaving(in.ID, FromList)
			continue
		}
		if wo.leaving && wo.unlisted {
			wo.leaving, wo.firstHand, wo.unlisted = false, false, false
			if wo.declared {
				co.workersChanged = true
			}
		}
	}
	for id, wo := range co.workers {
		if _, ok := listed[id]; !ok && wo.listed {
			wo.listed = false
			wo.unlisted = wo.leaving
		}
	}
}

func (co *Core) markLeaving(id string, source Source) {
	if id == "" {
		return
	}
	wo := co.worker(id)
	if source != FromPeer {
		wo.firstHand = true
	}
	if wo.leaving {
		return
	}
	wo.leaving, wo.unlisted = true, false
	if source != FromPeer {
		co.tellOwn, co.tellFar, co.tellRelay = true, true, true
	}
	co.emit(WorkerLeaving{Worker: id, Source: source})
}

// leavingHeard applies the set of workers that a peer found leaving. A worker that the peer merely repeats gets no
// new mark: the peer may see the worker's new registration later than this instance does.
func (co *Core) leavingHeard(from string, workers []string) {
	if len(workers) == 0 {
		delete(co.reported, from)
		return
	}
	last := co.reported[from]
	next := make(map[string]struct{}, len(workers))
	for _, id := range workers {
		next[id] = struct{}{}
		if _, repeated := last[id]; !repeated {
			if wo := co.workers[id]; wo == nil || !wo.leaving {
				own := co.instances[from] != nil && co.instances[from].dataCentre == co.se.DataCentre
				co.tellFar, co.tellOwn = co.tellFar || own, co.tellOwn || !own
			}
			co.markLeaving(id, FromPeer)
		}
	}
	co.reported[from] = next
	if it := co.instances[from]; it != nil && it.shown.State != Live {
		co.adoptMarks(from)
	}
}

// adoptMarks takes over the marks of a peer that may end, so that they are still told to instances that start later.
// A repeated mark does nothing, so that it does no harm if several instances adopt it.
func (co *Core) adoptMarks(from string) {
	for id := range co.reported[from] {
		if wo := co.workers[id]; wo != nil && wo.leaving {
			wo.firstHand = true
		}
	}
}

// markedKeepFactor keeps marked workers longer than others (15 min by default, the lifetime of a key), because a pool
// may be declared again.
const markedKeepFactor = 15

// pruneWorkers forgets workers that no source has named for a while.
func (co *Core) pruneWorkers() {
	for id, wo := range co.workers {
		keep := co.se.ForgetAfter
		if wo.leaving {
			keep *= markedKeepFactor
		}
		if !wo.declared && !wo.listed && co.now.Sub(wo.known) >= keep {
			delete(co.workers, id)
		}
	}
}

// LeavingWorkers returns the workers that this instance itself found leaving, sorted, for its heartbeats. What it heard
// from peers that are live is not passed on, because two instances would then remind each other for ever.
func (co *Core) LeavingWorkers() []string {
	var out []string
	for id, wo := range co.workers {
		if wo.leaving && wo.firstHand {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (co *Core) workerView() []Worker {
	out := make([]Worker, 0, len(co.declared))
	for _, id := range co.declared {
		wo := co.workers[id]
		st := Live
		if wo.leaving {
			st = Leaving
		}
		out = append(out, Worker{
			Worker:     id,
			DataCentre: cmp.Or(wo.dataCentre, wo.listedDataCentre),
			Address:    cmp.Or(wo.address, wo.listedAddress),
			State:      st,
		})
	}
	return out
}
