package lovagefleet

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"lovagestack/lovagepool"
)

const (
	// evacuationReadTimeout is how long an owner that was paused holds its starts, at most, until it has read the operators' table again.
	// A read usually takes 4 to 10 ms, and 60 times as long while the store is slow.
	evacuationReadTimeout = storeTimeout
	// retryEvacuated is the retry delay for callers while all data centres are evacuated.
	retryEvacuated = 5 * time.Second
	// maxLoggedName limits the length of a data centre's name in a log line; anybody may write rows of any name.
	maxLoggedName = 60
)

// noteOperatorRows applies what a read of the operators' table that began at the given time has shown.
func (no *Node) noteOperatorRows(began time.Time, or OperatorRows) {
	no.noteEvacuations(no.evacuations.applyRows(time.Now(), began, or), "store")
	if or.Configuration != nil {
		no.applyConfiguration(or.Configuration)
	}
}

// noteEvacuations logs and counts changes of evacuations, and has loop apply them.
func (no *Node) noteEvacuations(events []evacuationEvent, source string) {
	for _, en := range events {
		name := en.DataCentre
		if len(name) > maxLoggedName {
			name = name[:maxLoggedName] + "..."
		}
		log := no.log.With(zap.String("dataCentre", name), zap.Int64("version", en.Version), zap.String("from", source))
		no.countEvent("evacuation:" + string(en.kind))
		switch en.kind {
		case evacuationRequested:
			log.Info("evacuation in force", zap.Duration("closeInMs", en.closeIn))
		case evacuationRepeated:
			log.Info("evacuation requested again, nothing changes")
		case evacuationWithdrawn:
			log.Info("evacuation withdrawn")
		case evacuationUnknown:
			log.Warn("evacuation of an unknown data centre is ignored")
		case evacuationFaulty:
			log.Warn("the value of the request for evacuation cannot be decoded; the row counts all the same", zap.String("fault", en.Fault))
		}
	}
	if len(events) > 0 {
		no.evacuatedDataCentres.With().Update(float64(len(no.evacuations.current())))
		no.post(no.updateEvacuations)
	}
}

// readEvacuations reads the operators' table until it succeeds or registryReadTimeout is over, and has loop use the workers that waited
// for it.
func (no *Node) readEvacuations() {
	ctx, cancel := context.WithTimeout(no.ctx, registryReadTimeout)
	defer cancel()
	for ctx.Err() == nil {
		began := time.Now()
		callCtx, cancelCall := context.WithTimeout(ctx, storeTimeout)
		or, err := no.registry.OperatorRows(callCtx, 0, 0)
		cancelCall()
		no.noteOperatorRows(began, or)
		if or.succeeded() {
			no.post(no.refreshWorkers)
			return
		}
		if err != nil {
			no.countEvent("evacuationReadErrors")
		}
		sleep(ctx, configRetryDelay)
	}
}

// evacuationsAreCurrent reports whether this instance may use the workers of a domain that it has claimed: the operators' table was read
// after the claim, or the wait for that is over and the requests are known from an earlier read or from a peer.
func (no *Node) evacuationsAreCurrent(now time.Time, name string) bool {
	if no.settings.EvacuateWithin <= 0 {
		return true
	}
	readAt, known := no.evacuations.knowledge()
	return readAt.After(no.claimedAt[name]) || known && now.Sub(no.claimedAt[name]) > registryReadTimeout
}

// updateEvacuations passes the evacuations to the pool, and reports to all peers, where a request, its stage, an owner or a worker has
// changed. Only loop calls it, before the pool decides on further starts.
func (no *Node) updateEvacuations(now time.Time) {
	generation := no.evacuations.generation.Load()
	due := !no.evacuationDue.IsZero() && !now.Before(no.evacuationDue)
	if generation == no.evacuationGeneration && !due && no.holdUntil.IsZero() {
		return
	}
	no.evacuationGeneration = generation
	owners := no.evacuatedOwners()
	no.closedOwners.Store(&owners)
	no.pool.ClosePeers(owners)
	no.restrictWorkers(now)
	no.sentReports.toAllAt = time.Time{} // peers must drop the former report at once
	no.sendReports(now)
}

// restrictWorkers gives the pool the restrictions of the registered workers. Only loop calls it.
func (no *Node) restrictWorkers(now time.Time) {
	inForce := no.evacuations.current()
	no.evacuationDue = time.Time{}
	for dc, in := range inForce {
		if now.Before(in.closeAt) {
			no.evacuationDue = earliest(no.evacuationDue, in.closeAt)
		} else if _, owned := no.fenceByDomain[dc]; owned && !no.closedDomains[dc] {
			no.closedDomains[dc] = true
			no.log.Info("workers closed to new starts", zap.String("dataCentre", dc), zap.Int64("version", in.version),
				zap.Int("waitingJobs", no.pool.CountWaiting()))
		}
	}
	maps.DeleteFunc(no.closedDomains, func(dc string, _ bool) bool { return !no.evacuations.requested(dc) })
	held := no.holdsStarts(now)
	if len(inForce) == 0 && !held {
		no.pool.RestrictWorkers(nil)
		return
	}
	restrictions := map[string]lovagepool.Restriction{}
	for _, rw := range no.registeredWorkers() {
		in, ok := inForce[rw.DataCentre]
		switch {
		case ok && !now.Before(in.closeAt):
			restrictions[rw.ID] = lovagepool.Closed
		case held:
			restrictions[rw.ID] = lovagepool.Held
		case ok:
			restrictions[rw.ID] = lovagepool.NotOffered
		}
	}
	no.pool.RestrictWorkers(restrictions)
}

// earliest returns the earlier of two times, of which the first may be zero.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// evacuatedOwners returns the IDs of the owners that own only domains of evacuated data centres.
func (no *Node) evacuatedOwners() map[string]bool {
	inForce := no.evacuations.current()
	owners := map[string]bool{}
	if len(inForce) == 0 {
		return owners
	}
	no.ownerByDomain.Range(func(name, value any) bool {
		id := value.(ownerRef).ID
		_, evacuated := inForce[name.(string)]
		former, seen := owners[id]
		owners[id] = evacuated && (former || !seen)
		return true
	})
	maps.DeleteFunc(owners, func(_ string, evacuated bool) bool { return !evacuated })
	return owners
}

// isEvacuatedOwner reports whether the instance owns only domains of evacuated data centres.
func (no *Node) isEvacuatedOwner(instance string) bool {
	owners := no.closedOwners.Load()
	return owners != nil && (*owners)[instance]
}

// holdAfterPause closes the workers of evacuated data centres after a pause of this process, as the notice may be over. After a pause of
// half of the bound for evacuations, it holds all starts until the operators' table has been read, for evacuationReadTimeout at most.
func (no *Node) holdAfterPause(now time.Time, length time.Duration) {
	if len(no.evacuations.current()) > 0 {
		no.evacuations.closeNow(now)
	}
	if no.settings.EvacuateWithin > 0 && length >= no.settings.EvacuateWithin/2 {
		no.pausedAt, no.holdUntil = now, now.Add(evacuationReadTimeout)
		go no.readEvacuations()
		no.restrictWorkers(now)
	}
	no.updateEvacuations(now)
}

// holdsStarts reports whether starts are held after a pause.
func (no *Node) holdsStarts(now time.Time) bool {
	if no.holdUntil.IsZero() {
		return false
	}
	if readAt, _ := no.evacuations.knowledge(); readAt.After(no.pausedAt) || !now.Before(no.holdUntil) {
		no.holdUntil = time.Time{}
		return false
	}
	return true
}

// chooseOwnerElsewhere returns an owner with usable workers for a job of an instance whose data centre is evacuated: at random, by the
// free capacity that the owners report, so that the instances do not all send to the same one until the next report. It returns false
// if there is none.
func (no *Node) chooseOwnerElsewhere(service string, usable func(ownerRef) bool) (ownerRef, bool) {
	type choice struct {
		ownerRef
		free, workers int
	}
	var list []choice
	freeSum, workersSum := 0, 0
	no.ownerByDomain.Range(func(_, value any) bool {
		ow := value.(ownerRef)
		if free, workers := no.capacity(ow, service); workers > 0 && usable(ow) {
			list = append(list, choice{ow, free, workers})
			freeSum += free
			workersSum += workers
		}
		return true
	})
	if len(list) == 0 {
		return ownerRef{}, false
	}
	at := rand.IntN(workersSum)
	if freeSum > 0 {
		at = rand.IntN(freeSum)
	}
	for _, ch := range list {
		weight := ch.workers
		if freeSum > 0 {
			weight = ch.free
		}
		if at < weight {
			return ch.ownerRef, true
		}
		at -= weight
	}
	return list[0].ownerRef, true
}
