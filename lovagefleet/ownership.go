package lovagefleet

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lovagestack/lovagemessage"
	"lovagestack/lovageplatform"
)

const (
	instancePrefix = "instance/"
	domainPrefix   = "domain/"
	// storeTimeout limits the duration of a call to the store, which usually takes 4 to 10 ms but may take 60 times longer.
	storeTimeout = 900 * time.Millisecond
	// reachabilityTimeout limits the time to connect to a worker when testing whether the worker is reachable.
	reachabilityTimeout = 300 * time.Millisecond
	// registryInterval is how often an owner reads the registered workers. The owner must stop starts on a worker
	// within 2 s after the worker began to drain.
	registryInterval = 600 * time.Millisecond
	// registryTimeout limits the duration of a read of the registered workers, thousands of which take several calls.
	registryTimeout = 2500 * time.Millisecond
	// maxWorkerListAge is the age above which an instance that owns no workers reads the registered workers again before it
	// relies on them. It does not read them otherwise.
	maxWorkerListAge = 2 * time.Second
	// readingCandidates is how many of the candidates for a domain without an owner read the registered workers before they may
	// claim it, in case the store does not answer afterwards.
	readingCandidates = 3
	// maxFullMeshInstances is the largest deployment in which all instances have sessions with each other; a session costs
	// about 20 wake-ups a second.
	maxFullMeshInstances = 16
	// rowExpiry is how long after its last renewal the row of a dead instance is removed.
	rowExpiry = 20 * time.Second
)

// ownershipLoop renews this instance's row, reads all rows and claims domains.
func (no *Node) ownershipLoop(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	var lastRenewed, lastRead time.Time
	urgent := false // read the rows now instead of after the interval
	for {
		no.processTakeOvers(ctx)
		now := time.Now()
		no.noteSlowness(now)
		frequent := no.isOwner() || no.storeUnavailable || no.anyOwnerless() || no.anyOwnerUnconnected()
		if frequent || now.Sub(lastRenewed) >= idleRenewInterval || no.leaving.Load() != no.rowSaysLeaving ||
			no.slowness.late(now) != no.rowSaysSlow {
			if err := no.renewRow(ctx); err != nil {
				no.noteStoreError("renew", err)
			} else {
				lastRenewed = now
			}
		}
		if frequent || urgent || now.Sub(lastRead) >= idleReadInterval+time.Duration(len(no.members))*idleReadPerMember {
			urgent = false
			if err := no.readRows(ctx); err != nil {
				no.noteStoreError("read rows", err)
			} else {
				lastRead = now
				no.noteStoreReachable(now.Sub(lastRenewed) < idleStaleAfter)
				no.claimDomains(ctx) // only after a successful read: in old rows, live owners look dead
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-no.ownershipWake:
			urgent = true
		case <-ticker.C:
		}
	}
}

// noteSlowness updates whether this instance counts as slow. A slow owner hands its domain over, see shouldOwn.
func (no *Node) noteSlowness(now time.Time) {
	lag := no.lags.lag(now)
	if no.slowness.note(now, lag) {
		no.countEvent("slow")
		no.log.Warn("this instance is slow", zap.Duration("lagMs", lag), zap.Bool("owner", no.isOwner()))
	}
}

// isOwner reports whether a domain's row, as last read, names this incarnation as the owner.
func (no *Node) isOwner() bool {
	for _, do := range no.domains {
		if do.ownedBy(&no.self) {
			return true
		}
	}
	return false
}

// anyOwnerless reports whether a domain has no live owner, by the rows as last read.
func (no *Node) anyOwnerless() bool {
	for _, do := range no.domains {
		if !do.ownerlessSince.IsZero() || do.version == 0 {
			return true
		}
	}
	return len(no.domains) < len(no.settings.DataCentres)
}

// anyOwnerUnconnected reports whether this instance has no session with the owner of a domain.
func (no *Node) anyOwnerUnconnected() bool {
	for _, do := range no.domains {
		if do.version > 0 && do.row.Address != no.self.Address && !no.mesh.Connected(do.row.Address) {
			return true
		}
	}
	return false
}

func (no *Node) noteStoreError(op string, err error) {
	no.countEvent("storeErrors")
	if !no.storeUnavailable {
		no.storeUnavailable = true
		no.log.Warn("store lost", zap.String("op", op), errorField(err))
	}
}

func (no *Node) noteStoreReachable(rowRenewed bool) {
	if no.storeUnavailable && rowRenewed {
		no.storeUnavailable = false
		no.log.Info("store regained")
		now := time.Now()
		for _, me := range no.members { // renewals could not be seen while the store was unavailable
			me.lastRenewed = now
		}
	}
}

func (no *Node) renewRow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row := no.self
	no.heartbeatCount++
	row.Heartbeat, row.Leaving, row.IsOwner, row.Slow = no.heartbeatCount, no.leaving.Load(), no.isOwner(), no.slowness.late(time.Now())
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	_, err = no.store.Commit(ctx, lovageplatform.Transaction{
		Writes: []lovageplatform.Write{{Key: instancePrefix + no.self.ID, Value: value}},
	})
	if err == nil {
		no.rowSaysLeaving, no.rowSaysSlow = row.Leaving, row.Slow
	}
	return errors.Wrap(err, "renew the instance's row")
}

func (no *Node) readRows(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := no.store.Scan(ctx, "")
	if err != nil {
		return errors.Wrap(err, "read the instances' rows")
	}
	now := time.Now()
	seen := map[string]bool{}
	unusable := map[string]int64{}
	for _, row := range rows {
		var err error
		switch {
		case strings.HasPrefix(row.Key, instancePrefix):
			var in instanceRow
			if in, err = decodeInstanceRow(row, no.settings.DataCentres); err == nil {
				seen[in.ID] = true
				no.updateMember(now, in, row.Version)
			}
		case strings.HasPrefix(row.Key, domainPrefix):
			var dr domainRow
			if dr, err = decodeDomainRow(row, no.settings.DataCentres); err == nil {
				no.updateDomain(strings.TrimPrefix(row.Key, domainPrefix), dr, row.Version)
			}
		}
		if err != nil {
			unusable[row.Key] = row.Version
			if no.unusableRows[row.Key] != row.Version {
				no.countEvent("rowsUnusable")
				no.log.Warn("unusable row", zap.String("key", row.Key), errorField(err))
			}
		}
	}
	no.unusableRows = unusable
	no.domainRowsRead.Store(!slices.ContainsFunc(slices.Collect(maps.Keys(unusable)), func(key string) bool {
		return strings.HasPrefix(key, domainPrefix)
	}))
	for id, me := range no.members {
		if !seen[id] && id != no.self.ID {
			no.mesh.Disconnect(me.Address)
			delete(no.members, id)
			no.peerAddresses.Delete(id)
		}
	}
	no.removeExpiredRow(ctx, now)
	return nil
}

// updateMember records an instance's row; a changed version shows that the instance is alive. It also opens or closes the
// session with the instance.
func (no *Node) updateMember(now time.Time, in instanceRow, version int64) {
	me := no.members[in.ID]
	if me == nil || me.Incarnation != in.Incarnation {
		if me != nil {
			no.log.Info("instance restarted", zap.String("instance", in.ID))
			if me.Address != in.Address {
				no.mesh.Disconnect(me.Address)
			}
		}
		me = &member{firstSeen: now}
		no.members[in.ID] = me
		if in.ID != no.self.ID {
			no.peerAddresses.Store(in.ID, in.Address)
		}
	}
	if me.version != version {
		me.version, me.lastRenewed, me.connectionRefused = version, now, false
	}
	me.instanceRow = in
	if _, down := no.refusedInstances.LoadAndDelete(in.ID); down {
		me.connectionRefused = true
	}
	if in.ID != no.self.ID && in.Address != no.self.Address {
		if no.wantsSession(now, me) {
			no.mesh.Connect(in.ID, in.Address)
		} else {
			no.mesh.Disconnect(in.Address)
		}
		me.connected = no.mesh.Connected(in.Address)
	}
}

// wantsSession reports whether this instance keeps a session with another one. In a large deployment only owners have
// sessions with all instances, because pings on sessions that carry no jobs would take much of a small instance's CPU
// time.
func (no *Node) wantsSession(now time.Time, me *member) bool {
	return me.alive(now) && (len(no.members) <= maxFullMeshInstances || me.IsOwner || no.isOwner())
}

// removeExpiredRow removes the row of at most one dead instance.
func (no *Node) removeExpiredRow(ctx context.Context, now time.Time) {
	for id, me := range no.members {
		if id == no.self.ID || me.connected || now.Sub(me.lastRenewed) < rowExpiry {
			continue
		}
		_, err := no.store.Commit(ctx, lovageplatform.Transaction{
			Checks: []lovageplatform.Check{{Key: instancePrefix + id, Version: me.version}},
			Writes: []lovageplatform.Write{{Key: instancePrefix + id, Delete: true}},
		})
		if err != nil {
			no.log.Warn("cannot remove the row of a dead instance", zap.String("instance", id), errorField(err))
		}
		return
	}
}

// updateDomain records a domain's row, unless a newer version is known: the copy that is read may lag behind this instance's claim.
func (no *Node) updateDomain(name string, dr domainRow, version int64) {
	do := no.ensureDomain(name)
	if version <= do.version {
		return
	}
	do.row, do.version = dr, version
	no.applyOwnership(do)
}

// ensureDomain returns the state of a domain, which it creates if needed. A domain has the name of its data centre.
func (no *Node) ensureDomain(name string) *domain {
	do := no.domains[name]
	if do == nil {
		do = &domain{name: name, dataCentre: name}
		no.domains[name] = do
	}
	return do
}

// applyOwnership handles a change of a domain's owner: loop uses the domain's workers if this instance now owns the
// domain. Otherwise loop stops using them, or releases them one by one if this instance has handed the domain over.
func (no *Node) applyOwnership(do *domain) {
	owned := do.ownedBy(&no.self)
	name, fence, to := do.name, do.version, do.row.Address
	no.log.Info("owner of domain", zap.String("domain", name), zap.String("owner", do.row.Owner),
		zap.Int64("fence", fence), zap.Bool("self", owned))
	no.updateOwner(name, ownerRef{ID: do.row.Owner, Address: do.row.Address, isSelf: owned, fence: fence})
	at := time.Now() // earlier than the read of the registry requested below
	no.post(func(now time.Time) {
		var formerWorkers []string // of an earlier claim
		if owned {
			formerWorkers = no.pool.KnownWorkers(no.workersOfDomain(name))
			if _, had := no.fenceByDomain[name]; !had {
				no.claimedAt[name] = at
			}
			no.fenceByDomain[name] = fence
			delete(no.handOvers, name)
		} else if ho := no.handOvers[name]; ho != nil && ho.newOwnerAddress == to {
			if ho.state != handOverAccepted { // the new owner took the domain, but its reply was lost
				no.beginWorkerRelease(name, ho)
			}
		} else {
			delete(no.handOvers, name)
			delete(no.fenceByDomain, name)
		}
		no.refreshWorkers(now)
		no.pool.TakeBack(time.Now(), formerWorkers) // lists that are requested from now on have the new fence
		no.sentReports.toAllAt = time.Time{}        // report to all peers at once
		no.sendReports(now)
	})
	if owned {
		no.wakeRegistryLoop()
		if no.settings.EvacuateWithin > 0 {
			go no.readEvacuations()
		}
	}
}

// claimDomains claims or hands over the domains as decideClaim decides.
func (no *Node) claimDomains(ctx context.Context) {
	now := time.Now()
	self := no.members[no.self.ID]
	if self == nil {
		return // the row of this instance has not been read yet
	}
	self.lastRenewed = now
	for _, me := range no.members {
		if me != self {
			me.connected = no.mesh.Connected(me.Address)
		}
	}
	cv := &claimView{
		now: now, self: self, startedAt: no.startedAt, members: no.members, leaving: no.leaving.Load(), slow: no.slowness.slow(now),
	}
	for _, dc := range no.settings.DataCentres {
		do := no.ensureDomain(dc)
		action, to := cv.decideClaim(do)
		if !do.ownerlessSince.IsZero() && do.position >= 0 && do.position < readingCandidates && !no.workerListIsFresh() {
			no.wakeRegistryLoop()
		}
		if _, reclaim := no.reclaimDomains.LoadAndDelete(dc); reclaim && action == claimNone && do.ownedBy(&no.self) {
			action = claimNow
		}
		switch action {
		case claimIfReachable:
			if !no.canReachWorkers(ctx, dc) {
				do.lastUnreachable = time.Now()
				continue
			}
			if now.Sub(do.lastUnreachable) < minReachableTime {
				continue
			}
			fallthrough
		case claimNow:
			no.claimDomain(ctx, do)
		case claimHandOver:
			no.requestHandOver(ctx, do, to)
		}
	}
}

// claimDomain writes this instance into the domain's row as owner, unless the row has changed.
func (no *Node) claimDomain(ctx context.Context, do *domain) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	dr := domainRow{Owner: no.self.ID, Incarnation: no.self.Incarnation, Address: no.self.Address}
	value, err := json.Marshal(dr)
	if err != nil {
		no.log.Error("cannot encode the row of a domain", errorField(err))
		return
	}
	key := domainPrefix + do.name
	res, err := no.store.Commit(ctx, lovageplatform.Transaction{
		Checks: []lovageplatform.Check{{Key: key, Version: do.version}},
		Writes: []lovageplatform.Write{{Key: key, Value: value}},
	})
	if err != nil { // the claim may have taken effect; the next read shows it
		no.noteStoreError("claim "+do.name, err)
		return
	}
	if !res.Committed {
		no.log.Info("domain claimed first by another instance", zap.String("domain", do.name))
		return
	}
	no.countEvent("domainsClaimed")
	no.wakeOwnershipLoop() // to open the sessions with all instances that an owner needs
	no.updateDomain(do.name, dr, res.Versions[key])
}

// requestHandOver asks another instance to take a domain, and then releases the workers to it one by one.
func (no *Node) requestHandOver(ctx context.Context, do *domain, to *member) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	no.log.Info("handing over domain", zap.String("domain", do.name), zap.String("to", to.ID))
	name := do.name
	ho := &handOver{newOwnerAddress: to.Address, state: handOverRequested}
	// Set before the change of owner is posted: with a hand-over set, applyOwnership keeps the workers until each is released,
	// although the domain's row names the new owner.
	no.post(func(time.Time) { no.handOvers[name] = ho })
	resp, err := no.mesh.Call(ctx, to.Address, &lovagemessage.Request{
		Body: &lovagemessage.Request_TakeOver{TakeOver: &lovagemessage.TakeOver{Domain: name}},
	})
	if err != nil || !resp.GetTakeOver().GetAccepted() {
		no.log.Warn("domain not known to be taken over", zap.String("domain", name), zap.String("by", to.ID), errorField(err))
		no.post(func(time.Time) {
			if ho.state == handOverRequested {
				ho.state = handOverUnconfirmed
			}
		})
		return
	}
	no.awaitWorkerList(no.ctx) // the new owner waits for the release of each worker, also of those never used here
	no.post(func(now time.Time) {
		if no.handOvers[name] == ho && ho.state != handOverAccepted {
			no.beginWorkerRelease(name, ho)
			no.refreshWorkers(now)
		}
	})
}

// beginWorkerRelease stops starts on a domain's workers, so that each is released to the new owner once idle.
func (no *Node) beginWorkerRelease(name string, ho *handOver) {
	no.countEvent("domainsHandedOver")
	ids := no.workersOfDomain(name)
	ho.state, ho.unreleased = handOverAccepted, map[string]bool{}
	for _, id := range ids {
		ho.unreleased[id] = true
	}
	no.pool.HandOver(ids)
	if no.leaving.Load() && no.allAccepted() {
		no.allHandedOver.Store(true)
		no.pool.Leave()
	}
	if len(ids) == 0 {
		no.endHandOver(name, ho)
	}
}

// allAccepted reports whether every domain that this instance owned has a new owner.
func (no *Node) allAccepted() bool {
	for name := range no.fenceByDomain {
		if no.acceptedHandOver(name) == nil {
			return false
		}
	}
	return true
}

// acceptedHandOver returns a domain's hand-over if the new owner is known to have taken the domain, else nil.
func (no *Node) acceptedHandOver(name string) *handOver {
	if ho := no.handOvers[name]; ho != nil && ho.state == handOverAccepted {
		return ho
	}
	return nil
}

// handOverInProgress reports whether a hand-over awaits its reply, has workers to release or has not told so to the new owner.
func (no *Node) handOverInProgress() bool {
	if no.unsentReleases > 0 {
		return true
	}
	for _, ho := range no.handOvers {
		if ho.state != handOverUnconfirmed {
			return true
		}
	}
	return false
}

// serveTakeOver claims a domain at the request of its owner, and reports whether the claim succeeded.
func (no *Node) serveTakeOver(ctx context.Context, name, from string) bool {
	result := make(chan bool, 1)
	select {
	case no.takeOverRequests <- takeOverRequest{domain: name, previousOwner: from, result: result}:
	case <-ctx.Done():
		return false
	}
	no.wakeOwnershipLoop()
	select {
	case ok := <-result:
		return ok
	case <-ctx.Done():
		return false
	}
}

type takeOverRequest struct {
	domain, previousOwner string
	result                chan bool
}

// processTakeOvers claims the domains that other owners are handing over.
func (no *Node) processTakeOvers(ctx context.Context) {
	for {
		select {
		case re := <-no.takeOverRequests:
			do := no.ensureDomain(re.domain)
			if do.row.Owner != re.previousOwner || no.leaving.Load() {
				re.result <- false
				continue
			}
			until := time.Now().Add(releaseTimeout)
			no.post(func(time.Time) {
				no.awaitedReleases[re.domain] = awaitedRelease{
					previousOwner: re.previousOwner, deadline: until, released: map[string]bool{},
				}
			})
			no.claimDomain(ctx, do)
			re.result <- do.row.Owner == no.self.ID
		default:
			return
		}
	}
}

// awaitWorkerList waits until the registered workers have been read within maxWorkerListAge, at most for storeTimeout.
func (no *Node) awaitWorkerList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	woken := false
	for ctx.Err() == nil {
		if no.workerListIsFresh() {
			return
		}
		if !woken {
			woken = true
			no.wakeRegistryLoop()
		}
		sleep(ctx, ownerRetryInterval)
	}
}

// workerListIsFresh reports whether the registered workers were read within maxWorkerListAge.
func (no *Node) workerListIsFresh() bool {
	at := no.workerListReadAt.Load()
	return at != nil && time.Since(*at) <= maxWorkerListAge
}

// canReachWorkers reports whether one of up to three workers of a data centre accepts a connection.
func (no *Node) canReachWorkers(ctx context.Context, dataCentre string) bool {
	no.awaitWorkerList(ctx)
	attempts := 0
	for _, wo := range no.registeredWorkers() {
		if wo.DataCentre != dataCentre {
			continue
		}
		if attempts++; attempts > 3 {
			return false
		}
		dialer := net.Dialer{Timeout: reachabilityTimeout}
		co, err := dialer.DialContext(ctx, "tcp", wo.Address)
		if err == nil {
			_ = co.Close()
			return true
		}
	}
	return false
}
