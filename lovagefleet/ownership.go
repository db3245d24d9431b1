package lovagefleet

import (
	"context"
	"encoding/json"
	"net"
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
	// storeTimeout bounds a call to the store; it answers in 4 to 10 ms and may be 60 times slower.
	storeTimeout = 900 * time.Millisecond
	// reachabilityTimeout bounds the connection that tests whether a worker can be reached.
	reachabilityTimeout = 300 * time.Millisecond
	// registryInterval is how often the registered workers are read. A worker that starts draining must get no starts
	// 2 s later.
	registryInterval = 600 * time.Millisecond
	// idleRegistryInterval is how often instances read them that own no domain; they read at once when they claim one.
	idleRegistryInterval = 4 * time.Second
	// maxFullMeshInstances is up to how many instances all are connected with each other; each session costs about 20
	// wake-ups a second.
	maxFullMeshInstances = 16
	// rowExpiry is when the row of an instance that is gone is removed.
	rowExpiry = 20 * time.Second
)

// ownershipLoop renews this instance's row, follows those of the others and claims domains.
func (no *Node) ownershipLoop(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	var renewed, read time.Time
	urgent := false // read the rows without waiting for the interval
	for {
		no.processTakeOvers(ctx)
		now := time.Now()
		frequent := no.isOwner() || no.storeUnavailable || no.anyOwnerless()
		if frequent || now.Sub(renewed) >= idleRenewInterval || no.leaving.Load() != no.rowLeaving {
			if err := no.renewRow(ctx); err != nil {
				no.noteStoreError("renew", err)
			} else {
				renewed = now
			}
		}
		if frequent || urgent || now.Sub(read) >= idleReadInterval {
			urgent = false
			if err := no.readRows(ctx); err != nil {
				no.noteStoreError("read rows", err)
			} else {
				read = now
				no.noteStoreReachable(now.Sub(renewed) < idleStaleAfter)
				no.claimDomains(ctx) // only on what has just been read
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

// isOwner reports whether this process owns a domain, by the last read.
func (no *Node) isOwner() bool {
	for _, do := range no.domains {
		if do.ownedBy(&no.self) {
			return true
		}
	}
	return false
}

// anyOwnerless reports whether a domain has no owner that lives, by the last read.
func (no *Node) anyOwnerless() bool {
	for _, do := range no.domains {
		if !do.ownerlessSince.IsZero() || do.version == 0 {
			return true
		}
	}
	return len(no.domains) < len(no.settings.DataCentres)
}

func (no *Node) noteStoreError(op string, err error) {
	no.count("storeErrors")
	if !no.storeUnavailable {
		no.storeUnavailable = true
		no.log.Warn("store lost", zap.String("op", op), errorField(err))
	}
}

func (no *Node) noteStoreReachable(renewed bool) {
	if no.storeUnavailable && renewed {
		no.storeUnavailable = false
		no.log.Info("store regained")
		now := time.Now()
		for _, me := range no.members { // nobody could be seen to renew meanwhile
			me.lastRenewed = now
		}
	}
}

func (no *Node) renewRow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row := no.self
	no.heartbeats++
	row.Heartbeat, row.Leaving, row.IsOwner = no.heartbeats, no.leaving.Load(), no.isOwner()
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	_, err = no.store.Commit(ctx, lovageplatform.Transaction{
		Writes: []lovageplatform.Write{{Key: instancePrefix + no.self.ID, Value: value}},
	})
	if err == nil {
		no.rowLeaving = row.Leaving
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
	for _, row := range rows {
		switch {
		case strings.HasPrefix(row.Key, instancePrefix):
			var in instanceRow
			if err := json.Unmarshal(row.Value, &in); err != nil || instancePrefix+in.ID != row.Key {
				no.log.Warn("unreadable row of an instance", zap.String("key", row.Key), errorField(err))
				continue
			}
			seen[in.ID] = true
			no.updateMember(now, in, row.Version)
		case strings.HasPrefix(row.Key, domainPrefix):
			var dr domainRow
			if err := json.Unmarshal(row.Value, &dr); err != nil {
				no.log.Warn("unreadable row of a domain", zap.String("key", row.Key), errorField(err))
				continue
			}
			no.updateDomain(strings.TrimPrefix(row.Key, domainPrefix), dr, row.Version)
		}
	}
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

// updateMember takes an instance's row. A changed version is a sign of life.
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
		me.version, me.lastRenewed, me.connRefused = version, now, false
	}
	me.instanceRow = in
	if _, down := no.refusedInstances.LoadAndDelete(in.ID); down {
		me.connRefused = true
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

// wantsSession reports whether a session with the instance is kept up. In a small deployment all instances are connected.
// In a larger one only owners are connected with all: pings of sessions that no job uses cost small instances a large part
// of their processor time.
func (no *Node) wantsSession(now time.Time, me *member) bool {
	return me.alive(now) && (len(no.members) <= maxFullMeshInstances || me.IsOwner || no.isOwner())
}

// removeExpiredRow removes the rows of instances that are gone, one at a time.
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
			no.log.Warn("remove the row of an instance that is gone", zap.String("instance", id), errorField(err))
		}
		return
	}
}

func (no *Node) updateDomain(name string, dr domainRow, version int64) {
	do := no.domain(name)
	if do.version == version {
		return
	}
	do.row, do.version = dr, version
	no.applyOwnership(do)
}

// domain returns the record of a domain, which is named after its data centre.
func (no *Node) domain(name string) *domain {
	do := no.domains[name]
	if do == nil {
		do = &domain{name: name, dataCentre: name}
		no.domains[name] = do
	}
	return do
}

// applyOwnership makes the control loop use, or no longer use, the workers of a domain.
func (no *Node) applyOwnership(do *domain) {
	owned := do.ownedBy(&no.self)
	name, fence, to := do.name, do.version, do.row.Address
	no.log.Info("owner of domain", zap.String("domain", name), zap.String("owner", do.row.Owner),
		zap.Int64("fence", fence), zap.Bool("self", owned))
	no.updateOwner(name, ownerRef{ID: do.row.Owner, Address: do.row.Address, self: owned, fence: fence})
	at := time.Now() // before the read of the registry that is asked for below
	no.post(func(now time.Time) {
		if owned {
			if _, had := no.fences[name]; !had {
				no.claimedAt[name] = at
			}
			no.fences[name] = fence
			delete(no.handOvers, name)
		} else if ho := no.handOvers[name]; ho != nil && ho.address == to {
			if ho.state != handOverAccepted { // it was taken over although no answer said so
				no.releaseWorkers(name, ho)
			}
		} else {
			delete(no.handOvers, name)
			delete(no.fences, name)
		}
		no.refreshWorkers(now)
		no.sentReports.at = time.Time{} // tell all peers at once
		no.sendReports(now)
	})
	if owned {
		no.wakeRegistry()
	}
}

// claim decides about each data centre's domain.
func (no *Node) claimDomains(ctx context.Context) {
	now := time.Now()
	self := no.members[no.self.ID]
	if self == nil {
		return // not even the own row has been read yet
	}
	self.lastRenewed = now
	for _, me := range no.members {
		if me != self {
			me.connected = no.mesh.Connected(me.Address)
		}
	}
	cv := &claimView{now: now, self: self, started: no.started, members: no.members, leaving: no.leaving.Load()}
	for _, dc := range no.settings.DataCentres {
		do := no.domain(dc)
		action, to := cv.decideClaim(do)
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

// take writes this instance as the owner of a domain.
func (no *Node) claimDomain(ctx context.Context, do *domain) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	dr := domainRow{Owner: no.self.ID, Incarnation: no.self.Incarnation, Address: no.self.Address}
	value, err := json.Marshal(dr)
	if err != nil {
		no.log.Error("encode a domain's row", errorField(err))
		return
	}
	key := domainPrefix + do.name
	res, err := no.store.Commit(ctx, lovageplatform.Transaction{
		Checks: []lovageplatform.Check{{Key: key, Version: do.version}},
		Writes: []lovageplatform.Write{{Key: key, Value: value}},
	})
	if err != nil { // if it took effect, the next read shows it
		no.noteStoreError("claim "+do.name, err)
		return
	}
	if !res.Committed {
		no.log.Info("claim lost to another instance", zap.String("domain", do.name))
		return
	}
	no.count("domainsClaimed")
	no.wakeOwnership() // an owner is connected with all instances
	no.updateDomain(do.name, dr, res.Versions[key])
}

// requestHandOver asks another instance to take a domain, and then frees the workers for it one by one.
func (no *Node) requestHandOver(ctx context.Context, do *domain, to *member) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	no.log.Info("handing over domain", zap.String("domain", do.name), zap.String("to", to.ID))
	name := do.name
	ho := &handOver{address: to.Address, state: handOverRequested}
	// Keeps the workers when the table names the new owner, which is posted after this.
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
	no.post(func(now time.Time) {
		if no.handOvers[name] == ho && ho.state != handOverAccepted {
			no.releaseWorkers(name, ho)
			no.refreshWorkers(now)
		}
	})
}

// releaseWorkers frees the workers of a domain for its new owner.
func (no *Node) releaseWorkers(name string, ho *handOver) {
	no.count("domainsHandedOver")
	ids := no.workersOf(name)
	ho.state, ho.pending = handOverAccepted, map[string]bool{}
	for _, id := range ids {
		ho.pending[id] = true
	}
	no.pool.HandOver(ids)
	if no.leaving.Load() {
		no.allHandedOver.Store(true)
		no.pool.Leave()
	}
}

// acceptedHandOver returns the hand-over of a domain that is known to have a new owner, or nil.
func (no *Node) acceptedHandOver(name string) *handOver {
	if ho := no.handOvers[name]; ho != nil && ho.state == handOverAccepted {
		return ho
	}
	return nil
}

// handOverInProgress reports whether another instance is being asked to take a domain, or workers are still to be released to it.
func (no *Node) handOverInProgress() bool {
	for _, ho := range no.handOvers {
		if ho.state != handOverUnconfirmed {
			return true
		}
	}
	return false
}

// serveTakeOver serves the request of an owner to take its domain.
func (no *Node) serveTakeOver(ctx context.Context, name, from string) bool {
	result := make(chan bool, 1)
	select {
	case no.takeOverRequests <- takeOverRequest{domain: name, from: from, result: result}:
	case <-ctx.Done():
		return false
	}
	no.wakeOwnership()
	select {
	case ok := <-result:
		return ok
	case <-ctx.Done():
		return false
	}
}

type takeOverRequest struct {
	domain, from string
	result       chan bool
}

// processTakeOvers claims domains that their owners hand over, without waiting for the next renewal.
func (no *Node) processTakeOvers(ctx context.Context) {
	for {
		select {
		case re := <-no.takeOverRequests:
			do := no.domain(re.domain)
			if do.row.Owner != re.from || no.leaving.Load() {
				re.result <- false
				continue
			}
			until := time.Now().Add(releaseTimeout)
			no.post(func(time.Time) {
				no.awaitedReleases[re.domain] = awaitedRelease{from: re.from, until: until, released: map[string]bool{}}
			})
			no.claimDomain(ctx, do)
			re.result <- do.row.Owner == no.self.ID
		default:
			return
		}
	}
}

// canReachWorkers reports whether one of the workers of a data centre accepts a connection.
func (no *Node) canReachWorkers(ctx context.Context, dataCentre string) bool {
	tried := 0
	for _, wo := range no.registeredWorkers() {
		if wo.DataCentre != dataCentre {
			continue
		}
		if tried++; tried > 3 {
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
