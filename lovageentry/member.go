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

type memberView struct {
	members     map[string]lovagemember.Member // members by instance ID
	dataCentres map[string]string              // names of the members' data centres, by instance ID
}

func (mv *memberView) address(id string) string { return mv.members[id].Address }

// peerDirectory holds the part of the membership that goroutines other than the control loop read.
type peerDirectory struct {
	mu          sync.RWMutex
	addresses   map[string]string // peer address by instance ID, without instances that are gone
	syncTargets syncTargets
}

// syncTargets are the instances with which this instance exchanges configuration changes.
type syncTargets struct {
	pull    []lovagesync.Peer // instances from which changes can be fetched
	push    []lovagesync.Peer // instances that get the changes accepted by this instance
	relayed []lovagesync.Peer // local instances to which this instance, if it is a relay, passes other data centres' changes
	local   map[string]bool   // IDs of the other instances of this data centre
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

func (pd *peerDirectory) getSyncTargets() syncTargets {
	pd.mu.RLock()
	defer pd.mu.RUnlock()
	return pd.syncTargets
}

// pushTargets returns the instances to which this instance pushes a change. from is the ID of the peer that pushed the
// change here, or "" if this instance accepted the change itself. An accepted change goes to this data centre and to
// the relays of the other data centres, or to every instance in a full mesh. A relay pushes a change from another data
// centre to its own data centre. A change from this data centre is not pushed further.
func (pd *peerDirectory) pushTargets(from string) []lovagesync.Peer {
	st := pd.getSyncTargets()
	switch {
	case from == "":
		return st.push
	case st.local[from]:
		return nil
	}
	return st.relayed
}

// updateSyncTargets recomputes syncTargets.
func (lo *controlLoop) updateSyncTargets() {
	relays := make(map[string]bool)
	for _, id := range lo.membership.RemoteRelays() {
		relays[id] = true
	}
	st := syncTargets{local: make(map[string]bool)}
	for id, me := range lo.members.members {
		if id == lo.in.id || me.State == lovagemember.Gone || me.Address == "" {
			continue
		}
		peer := lovagesync.Peer{ID: id, Address: me.Address}
		exchanges, isLocal := lo.membership.ExchangesHeartbeats(id), lo.members.dataCentres[id] == lo.in.settings.DataCentre
		if exchanges {
			st.pull = append(st.pull, peer)
		}
		if exchanges && !lo.in.usesRelays.Load() || isLocal || relays[id] {
			st.push = append(st.push, peer)
		}
		if isLocal {
			st.local[id] = true
			if lo.in.isRelay.Load() {
				st.relayed = append(st.relayed, peer)
			}
		}
	}
	lo.in.peerDirectory.setSyncTargets(st)
}

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
		// The dispatch core ignores workers of other domains, so leavingWorkers keeps the mark until the core gets the
		// worker.
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

// membersChanged stores a new membership view and updates the directories, the domains and the ledger from it.
func (lo *controlLoop) membersChanged(cm lovagemember.MembersChanged) {
	members := make(map[string]lovagemember.Member)
	peerAddresses, callerAddresses := make(map[string]string), make(map[string]string)
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
			ledgerMembers = append(ledgerMembers, toLedgerMember(me, dc.Name, lo.in.settings.DataCentre))
			if me.State != lovagemember.Gone && me.Address != "" {
				peerAddresses[me.Instance] = me.Address
				callerAddresses[me.Instance] = me.CallerAddress
			}
			lo.logStateChange(me)
		}
	}
	lo.members.members, lo.members.dataCentres = members, dataCentres
	lo.deltas.dropUnknown(members)
	lo.in.peerDirectory.set(peerAddresses)
	lo.in.callerDirectory.set(callerAddresses)
	lo.updateSyncTargets()
	lo.liveMembersChanged(live)
	lo.stepLedger(&lovageledger.MembersChanged{Members: ledgerMembers})
}

// Assumed round-trip times within a data centre and between two data centres, by which the ledger ranks candidates for
// a replica. The users state about 1.4 ms one way between data centres.
const (
	localRoundTrip  = 200 * time.Microsecond
	remoteRoundTrip = 2800 * time.Microsecond
)

func toLedgerMember(me lovagemember.Member, dataCentre, ownDataCentre string) lovageledger.Member {
	out := lovageledger.Member{ID: me.Instance, DataCentre: dataCentre, RoundTrip: remoteRoundTrip}
	if dataCentre == ownDataCentre {
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

// logStateChange logs a peer's new state.
func (lo *controlLoop) logStateChange(me lovagemember.Member) {
	if before := lo.members.members[me.Instance].State; before != me.State {
		lo.log.Info("peer changed state", zap.String("peer", me.Instance), zap.String("before", string(before)),
			zap.String("now", string(me.State)), zap.Bool("refused", me.Refused))
	}
}

// workerReportedLeaving tells the membership view that a worker's reply had the leaving header.
func (lo *controlLoop) workerReportedLeaving(worker string) {
	lo.stepMember(lovagemember.WorkerReplied{Worker: worker, Leaving: true})
}

// listReader posts the platform's list of instances to the control loop every listInterval.
type listReader struct {
	in *Instance
}

// listInterval is the time between two reads of the platform's list. The platform updates the list with a longer delay
// than this interval.
const listInterval = 2 * time.Second

// Serve runs until ctx ends.
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
		if !lr.in.isIntroduced() {
			lr.in.control.post(ctx, &introductionStep{})
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

type listRead struct{ list []lovageplatform.Instance }

// apply replaces the name of each entry instance in the list by the ID of the process at the instance's address,
// because a restarted process has a new ID at the same address. If no process is known at the address, the name stays,
// so that the address is dialled.
func (lr *listRead) apply(lo *controlLoop) {
	ids := map[string]string{lo.in.peerAddress: lo.in.id}
	for id, me := range lo.members.members {
		if me.Address != lo.in.peerAddress && me.State != lovagemember.Gone &&
			me.State != lovagemember.Unheard { // the ID of an Unheard member may be a name from an earlier list
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
