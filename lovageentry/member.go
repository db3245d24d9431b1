package lovageentry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"lovagestack/lovagedispatch"
	"lovagestack/lovagedomain"
	"lovagestack/lovageledger"
	"lovagestack/lovagemember"
	"lovagestack/lovageplatform"
	"lovagestack/lovagesync"
)

// memberView is the control loop's copy of the membership.
type memberView struct {
	members     map[string]lovagemember.Member // by instance ID
	dataCentres map[string]string              // of members
}

func (mv *memberView) address(id string) string { return mv.members[id].Address }

// peerDirectory is the part of the membership that traffic goroutines read.
type peerDirectory struct {
	mu          sync.RWMutex
	addresses   map[string]string // instance ID to address, without instances that are gone
	syncTargets syncTargets
}

// syncTargets are the instances that configuration changes are exchanged with.
type syncTargets struct {
	pull    []lovagesync.Peer // may be asked for changes
	push    []lovagesync.Peer // get the changes that are accepted here
	relayed []lovagesync.Peer // get the changes that instances of other data centres push to this one; empty unless it is a relay
	local   map[string]bool   // IDs of the instances of the own data centre
}

func (pd *peerDirectory) get(id string) string {
	pd.mu.RLock()
	defer pd.mu.RUnlock()
	return pd.addresses[id]
}

func (pd *peerDirectory) set(peers map[string]string) {
	pd.mu.Lock()
	defer pd.mu.Unlock()
	pd.addresses = peers
}

func (pd *peerDirectory) setSyncTargets(st syncTargets) {
	pd.mu.Lock()
	defer pd.mu.Unlock()
	pd.syncTargets = st
}

func (pd *peerDirectory) targets() syncTargets {
	pd.mu.RLock()
	defer pd.mu.RUnlock()
	return pd.syncTargets
}

// pushTargets returns the instances that a change is pushed to. A change that was accepted here, for which from is
// empty, goes to the own data centre and to the relays of the others, or to every instance in a full mesh. A relay
// pushes a change from another data centre to its own one.
func (pd *peerDirectory) pushTargets(from string) []lovagesync.Peer {
	st := pd.targets()
	switch {
	case from == "":
		return st.push
	case st.local[from]:
		return nil
	}
	return st.relayed
}

// updateSyncTargets recomputes the instances that configuration changes are exchanged with.
func (lo *controlLoop) updateSyncTargets() {
	relays := make(map[string]bool)
	for _, id := range lo.member.RemoteRelays() {
		relays[id] = true
	}
	st := syncTargets{local: make(map[string]bool)}
	for id, me := range lo.members.members {
		if id == lo.in.id || me.State == lovagemember.Gone || me.Address == "" {
			continue
		}
		peer := lovagesync.Peer{ID: id, Address: me.Address}
		exchanged, own := lo.member.ExchangesHeartbeats(id), lo.members.dataCentres[id] == lo.in.settings.DataCentre
		if exchanged {
			st.pull = append(st.pull, peer)
		}
		if exchanged && !lo.in.usesRelays.Load() || own || relays[id] {
			st.push = append(st.push, peer)
		}
		if own {
			st.local[id] = true
			if lo.in.isRelay.Load() {
				st.relayed = append(st.relayed, peer)
			}
		}
	}
	lo.in.addresses.setSyncTargets(st)
}

// memberEvent is an event of the membership view that comes from a traffic goroutine.
type memberEvent struct{ ev lovagemember.Event }

func (me *memberEvent) apply(lo *controlLoop) { lo.stepMember(me.ev) }

func (lo *controlLoop) runMemberCommand(cm lovagemember.Command) {
	switch cm := cm.(type) {
	case lovagemember.MembersChanged:
		lo.membersChanged(cm)
	case lovagemember.WorkersChanged:
		lo.workersChanged(cm)
	case lovagemember.WorkerLeaving:
		lo.log.Info("worker is leaving", zap.String("worker", cm.Worker), zap.String("source", string(cm.Source)))
		// The core does not know a worker of another domain yet, so a leaving one is remembered until it is added.
		lo.leavingWorkers[cm.Worker] = true
		lo.stepCore(lovagedispatch.WorkerLeaving{Worker: cm.Worker})
	case lovagemember.DialPeer:
		lo.in.mesh.Connect(cm.Instance, cm.Address)
	case lovagemember.DropPeer:
		lo.in.mesh.Disconnect(cm.Address)
	case lovagemember.ReleasePeer:
		lo.in.mesh.Release(cm.Address)
	case lovagemember.ReportApplied:
		lo.reportApplied(cm)
	case lovagemember.RoleChanged:
		lo.roleChanged(cm)
	case lovagemember.SendHeartbeats:
		lo.sendHeartbeats(cm.Instances)
	}
}

// membersChanged tells the ledger and the traffic goroutines about the new view.
func (lo *controlLoop) membersChanged(cm lovagemember.MembersChanged) {
	members := make(map[string]lovagemember.Member)
	addresses, callers := make(map[string]string), make(map[string]string)
	dataCentres := make(map[string]string)
	var live []lovagedomain.Member
	var ledgerMembers []lovageledger.Member
	for _, dc := range cm.DataCentres {
		if dc.Name == lo.in.settings.DataCentre {
			lo.sharingInstances = len(dc.SharingIDs())
		}
		for _, me := range dc.Members {
			members[me.Instance] = me
			dataCentres[me.Instance] = dc.Name
			if me.HasShare() {
				live = append(live, lovagedomain.Member{ID: me.Instance, DataCentre: dc.Name})
			}
			if me.Instance == lo.in.id {
				continue
			}
			ledgerMembers = append(ledgerMembers, ledgerMember(me, dc.Name, lo.in.settings.DataCentre))
			if me.State != lovagemember.Gone && me.Address != "" {
				addresses[me.Instance] = me.Address
				callers[me.Instance] = me.CallerAddress
			}
			lo.logMember(me)
		}
	}
	lo.members.members, lo.members.dataCentres = members, dataCentres
	lo.deltas.dropUnknown(members)
	lo.in.addresses.set(addresses)
	lo.in.callers.set(callers)
	lo.updateSyncTargets()
	lo.liveMembersChanged(live)
	lo.stepLedger(&lovageledger.MembersChanged{Members: ledgerMembers})
}

// Assumed round-trip times within a data centre and between two, by which the ledger ranks candidates for a replica. The
// users state about 1.4 ms one way between data centres.
const (
	localRoundTrip  = 200 * time.Microsecond
	remoteRoundTrip = 2800 * time.Microsecond
)

func ledgerMember(me lovagemember.Member, dataCentre, own string) lovageledger.Member {
	out := lovageledger.Member{ID: me.Instance, DataCentre: dataCentre, RoundTrip: remoteRoundTrip}
	if dataCentre == own {
		out.RoundTrip = localRoundTrip
	}
	switch me.State {
	case lovagemember.Live:
		out.State = lovageledger.MemberLive
	case lovagemember.Leaving:
		out.State, out.Leaving = lovageledger.MemberLive, true
	case lovagemember.Suspect, lovagemember.Unheard:
		out.State = lovageledger.MemberSuspect
	case lovagemember.Gone:
		out.State = lovageledger.MemberGone
	}
	return out
}

// logMember logs a change of a peer's state.
func (lo *controlLoop) logMember(me lovagemember.Member) {
	if before := lo.members.members[me.Instance].State; before != me.State {
		lo.log.Info("peer changed state", zap.String("peer", me.Instance), zap.String("before", string(before)),
			zap.String("now", string(me.State)), zap.Bool("refused", me.Refused))
	}
}

// workerReportedLeaving reports the leaving header of a worker's reply to the membership view.
func (lo *controlLoop) workerReportedLeaving(worker string) {
	lo.stepMember(lovagemember.WorkerReplied{Worker: worker, Leaving: true})
}

// listReader polls the platform's list of instances.
type listReader struct {
	in *Instance
}

// listInterval is the time between two reads of the platform's list. The list lags by more than that.
const listInterval = 2 * time.Second

// Serve reads the list until ctx ends.
func (lr *listReader) Serve(ctx context.Context) error {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	failing := false
	for {
		list, err := lr.read(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if (err != nil) != failing {
			failing = err != nil
			lr.in.log.Info("platform list changed state", zap.Bool("reachable", !failing), zap.Error(err))
		}
		if err == nil {
			lr.in.control.post(ctx, &listRead{list: list})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (lr *listReader) read(ctx context.Context) ([]lovageplatform.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, lr.in.settings.Platform.Timeout)
	defer cancel()
	return lr.in.platform.Instances(ctx)
}

// listRead is a successful read of the platform's list.
type listRead struct{ list []lovageplatform.Instance }

// apply replaces the list's names of entry instances by the IDs of the processes at their addresses, because a
// restarted process has a new ID at the same address. A name whose address belongs to no known process stays, so that
// the address is dialled.
func (lr *listRead) apply(lo *controlLoop) {
	ids := map[string]string{lo.in.peerAddress: lo.in.id}
	for id, me := range lo.members.members {
		if me.Address != lo.in.peerAddress && me.State != lovagemember.Gone &&
			me.State != lovagemember.Unheard { // Unheard may be a name from an earlier list
			ids[me.Address] = id
		}
	}
	for i := range lr.list {
		if id := ids[lr.list[i].Address]; id != "" && lr.list[i].Kind == lovageplatform.KindEntry {
			lr.list[i].ID = id
		}
	}
	lo.stepMember(lovagemember.ListRead{Instances: lr.list})
}
