package lovagemember

import (
	"cmp"
	"slices"
	"time"

	"lovagestack/lovageplatform"
)

// worker is the record of one worker. A worker that no pool declares is kept while the list names it, and ForgetAfter longer. A
// leaving mark prolongs this, so that the mark survives until a pool declares the worker again.
type worker struct {
	declared   bool
	dataCentre string
	address    string
	namedAt    time.Time // when a source last named the worker

	listedDataCentre, listedAddress string // from the last list that named the worker; used where the pool leaves them empty

	leaving          bool
	propagate        bool // include the mark in heartbeats: it came from the list, a reply or a peer that is not live
	listed           bool // in the last list
	missingSinceMark bool // missing from a list since the mark, after it had been listed
}

func (co *Core) ensureWorker(id string) *worker {
	wo := co.workers[id]
	if wo == nil {
		wo = &worker{}
		co.workers[id] = wo
	}
	wo.namedAt = co.latestTime
	return wo
}

func (co *Core) poolsChanged(ev PoolsChanged) {
	declared := make([]string, 0, len(ev.Workers))
	seen := make(map[string]struct{}, len(ev.Workers))
	for _, de := range ev.Workers {
		if de.Worker == "" {
			continue
		}
		if _, ok := seen[de.Worker]; !ok {
			seen[de.Worker] = struct{}{}
			declared = append(declared, de.Worker)
		}
		wo := co.ensureWorker(de.Worker)
		if !wo.declared || wo.dataCentre != de.DataCentre || wo.address != de.Address {
			wo.declared, wo.dataCentre, wo.address = true, de.DataCentre, de.Address
			co.workersChanged = true
		}
	}
	for _, id := range co.declaredWorkerIDs {
		if _, ok := seen[id]; !ok {
			co.workers[id].declared = false
			co.workersChanged = true
		}
	}
	slices.Sort(declared)
	co.declaredWorkerIDs = declared
}

// listWorkers applies the workers of a list. A list that shows a marked worker as live does not clear the mark, because
// the list lags. Only a worker that was listed, then missing and then live again has registered anew.
func (co *Core) listWorkers(list []lovageplatform.Instance) {
	listed := make(map[string]struct{}, len(co.workers))
	for _, in := range list {
		if in.Kind != lovageplatform.KindWorker || in.ID == "" {
			continue
		}
		if _, duplicate := listed[in.ID]; duplicate {
			continue
		}
		listed[in.ID] = struct{}{}
		wo := co.ensureWorker(in.ID)
		wo.listed = true
		if wo.listedAddress != in.Address || wo.listedDataCentre != in.DataCentre {
			wo.listedAddress, wo.listedDataCentre = in.Address, in.DataCentre
			if wo.declared && (wo.address == "" || wo.dataCentre == "") {
				co.workersChanged = true
			}
		}
		if in.State == lovageplatform.StateLeaving {
			wo.missingSinceMark = false
			co.markLeaving(in.ID, FromList)
			continue
		}
		if wo.leaving && wo.missingSinceMark {
			wo.leaving, wo.propagate, wo.missingSinceMark = false, false, false
			if wo.declared {
				co.workersChanged = true
			}
		}
	}
	for id, wo := range co.workers {
		if _, ok := listed[id]; !ok && wo.listed {
			wo.listed = false
			wo.missingSinceMark = wo.leaving
		}
	}
}

func (co *Core) markLeaving(id string, source Source) {
	if id == "" {
		return
	}
	wo := co.ensureWorker(id)
	if source != FromPeer {
		wo.propagate = true
	}
	if wo.leaving {
		return
	}
	wo.leaving, wo.missingSinceMark = true, false
	if source != FromPeer {
		co.notifyLocal, co.notifyRemote, co.notifyRelay = true, true, true
	}
	co.emit(WorkerLeaving{Worker: id, Source: source})
}

// leavingWorkersReceived applies the set of workers that a peer found leaving. A worker that was already in the peer's
// last set gets no new mark: the peer may see the worker's new registration later than this instance does.
func (co *Core) leavingWorkersReceived(from string, workers []string) {
	if len(workers) == 0 {
		delete(co.leavingByPeer, from)
		return
	}
	last := co.leavingByPeer[from]
	next := make(map[string]struct{}, len(workers))
	for _, id := range workers {
		next[id] = struct{}{}
		if _, repeated := last[id]; !repeated {
			if wo := co.workers[id]; wo == nil || !wo.leaving {
				local := co.instances[from] != nil && co.instances[from].dataCentre == co.settings.DataCentre
				co.notifyRemote, co.notifyLocal = co.notifyRemote || local, co.notifyLocal || !local
			}
			co.markLeaving(id, FromPeer)
		}
	}
	co.leavingByPeer[from] = next
	if it := co.instances[from]; it != nil && it.published.State != Live {
		co.adoptLeavingMarks(from)
	}
}

// adoptLeavingMarks adds a peer's marks to this instance's heartbeats because the peer may stop. Instances that start later
// then still get the marks. Marks are idempotent, so several instances can adopt the same one.
func (co *Core) adoptLeavingMarks(from string) {
	for id := range co.leavingByPeer[from] {
		if wo := co.workers[id]; wo != nil && wo.leaving {
			wo.propagate = true
		}
	}
}

// markedRetentionFactor multiplies ForgetAfter for marked workers, as a pool with the worker may be declared again. By
// default, a mark is kept for 15 min, the lifetime of a key.
const markedRetentionFactor = 15

// pruneWorkers removes workers that no source has named for their retention time.
func (co *Core) pruneWorkers() {
	for id, wo := range co.workers {
		retention := co.settings.ForgetAfter
		if wo.leaving {
			retention *= markedRetentionFactor
		}
		if !wo.declared && !wo.listed && co.latestTime.Sub(wo.namedAt) >= retention {
			delete(co.workers, id)
		}
	}
}

// LeavingWorkers returns the workers that this instance itself found leaving, sorted, for its heartbeats. Marks from live
// peers are not forwarded: two instances would report them to each other for ever.
func (co *Core) LeavingWorkers() []string {
	var out []string
	for id, wo := range co.workers {
		if wo.leaving && wo.propagate {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (co *Core) workerView() []Worker {
	out := make([]Worker, 0, len(co.declaredWorkerIDs))
	for _, id := range co.declaredWorkerIDs {
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
