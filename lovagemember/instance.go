package lovagemember

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagestack/lovageplatform"
)

// instance is the record of one peer.
type instance struct {
	id, dataCentre, address string
	callerAddress           string
	namedAt                 time.Time // when a source last named the instance
	contactAt               time.Time // time of the last direct contact; zero: never
	exchangedAt             time.Time // time of its last heartbeat or reply to a heartbeat; zero: never
	heartbeatAt             time.Time // time of its last heartbeat, which, unlike a reply, gives its address; zero: never
	reportedAt              time.Time // when its relay last had contact with it, by the newest report; zero: no report
	reportedState           State     // state in the newest report
	leaving                 bool      // whether it is leaving, by its last heartbeat or the newest report
	details                 any       // Details of the last heartbeat or the newest report
	hash                    uint64
	usesRelays              bool // whether it uses relays, by its last heartbeat or reply
	exchangesHeartbeats     bool // this instance exchanges heartbeats with it
	listed, listedLeaving   bool // the last list has it; the last list has it as leaving
	hasSession              bool
	refusedSince            time.Time // time of the first refused connection since the last contact; zero: none
	dialledAddress          string    // address of the last DialPeer
	published               Member    // the instance's entry in the view
	publishedDataCentre     string
}

func (co *Core) listRead(ev ListRead) {
	listed := make(map[string]lovageplatform.Instance, len(ev.Instances))
	for _, in := range ev.Instances {
		if in.Kind == lovageplatform.KindEntry && in.ID != "" && in.ID != co.settings.Instance {
			listed[in.ID] = in
		}
	}
	for _, in := range ev.Instances {
		if _, ok := listed[in.ID]; ok && in.Kind == lovageplatform.KindEntry {
			co.ensureInstance(in.ID)
		}
	}
	for _, id := range co.instanceIDs {
		it := co.instances[id]
		listedInstance, ok := listed[id]
		it.listed, it.listedLeaving = ok, ok && listedInstance.State == lovageplatform.StateLeaving
		if ok {
			it.namedAt = co.latestTime
			// While there is contact with the peer, its heartbeats take precedence over the list, which lags.
			if st, _ := co.computeState(it); st == Unheard || st == Gone || it.address == "" {
				it.dataCentre, it.address = listedInstance.DataCentre, listedInstance.Address
			}
		}
		co.refreshState(it)
	}
	co.listWorkers(ev.Instances)
}

func (co *Core) heartbeatReceived(ev HeartbeatReceived) {
	for _, pe := range ev.KnownPeers {
		co.recordNamedPeer(pe)
	}
	if ev.Instance == "" || ev.Instance == co.settings.Instance {
		return
	}
	it := co.ensureInstance(ev.Instance)
	it.dataCentre, it.address, it.leaving, it.details = ev.DataCentre, ev.Address, ev.Leaving, ev.Details
	it.callerAddress = ev.CallerAddress
	it.heartbeatAt = co.latestTime
	co.recordHeartbeat(it, ev.UsesRelays)
	co.leavingWorkersReceived(ev.Instance, ev.LeavingWorkers)
}

// recordNamedPeer records an instance that a peer is in contact with, so that it is dialled. Being named does not count as
// contact.
func (co *Core) recordNamedPeer(pe Peer) {
	if pe.Instance == "" || pe.Instance == co.settings.Instance {
		return
	}
	it := co.ensureInstance(pe.Instance)
	it.namedAt = co.latestTime
	if st, _ := co.computeState(it); st == Unheard || st == Gone {
		it.dataCentre, it.address, it.leaving = pe.DataCentre, pe.Address, pe.Leaving
		it.callerAddress = pe.CallerAddress
	}
	co.refreshState(it)
}

func (co *Core) peerReplied(ev PeerReplied) {
	if it := co.instances[ev.Instance]; it != nil {
		co.recordHeartbeat(it, ev.UsesRelays)
	}
}

// recordHeartbeat records a heartbeat or a reply to one.
func (co *Core) recordHeartbeat(it *instance, usesRelays bool) {
	if it.usesRelays != usesRelays || it.exchangedAt.IsZero() {
		co.rolesStale = true
	}
	it.exchangedAt, it.usesRelays = co.latestTime, usesRelays
	co.recordContact(it)
}

func (co *Core) sessionUp(id string) {
	if id == "" || id == co.settings.Instance {
		return
	}
	it := co.ensureInstance(id)
	it.hasSession = true
	co.recordContact(it)
}

func (co *Core) sessionDown(ev SessionDown) {
	it := co.instances[ev.Instance]
	if it == nil {
		return
	}
	it.hasSession = false
	if ev.Refused && it.refusedSince.IsZero() {
		it.refusedSince = co.latestTime
	}
	co.refreshState(it)
}

// recordContact records direct contact with an instance.
func (co *Core) recordContact(it *instance) {
	it.namedAt, it.contactAt, it.refusedSince = co.latestTime, co.latestTime, time.Time{}
	co.refreshState(it)
}

// ensureInstance returns the record of an ID, created if needed.
func (co *Core) ensureInstance(id string) *instance {
	it := co.instances[id]
	if it == nil {
		it = &instance{id: id, namedAt: co.latestTime, hash: xxhash.Sum64String(id)}
		co.rolesStale = true
		co.instances[id] = it
		co.instanceIDs = insertSorted(co.instanceIDs, id)
	}
	return it
}

func (co *Core) computeState(it *instance) (st State, refused bool) {
	suspectAfter, goneAfter, reportedState := co.settings.SuspectAfter, co.settings.GoneAfter, Live
	if it.reportedAt.After(it.exchangedAt) && !co.exchangedRecently(it) {
		suspectAfter, goneAfter, reportedState = suspectAfter+co.relayDelay(), goneAfter+co.relayDelay(), it.reportedState
	}
	contact := it.lastContact()
	switch silent := co.latestTime.Sub(contact); {
	case contact.IsZero():
		return Unheard, false
	case !it.refusedSince.IsZero() && co.latestTime.Sub(it.refusedSince) >= co.settings.GoneAfterRefusals:
		return Gone, true
	case silent >= goneAfter || reportedState == Gone:
		return Gone, false
	case it.leaving || it.listedLeaving:
		return Leaving, false
	case silent >= suspectAfter || reportedState == Suspect || !it.refusedSince.IsZero():
		return Suspect, false
	}
	return Live, false
}

// refreshState recomputes the state of an instance. A change schedules a new view and a new choice of roles, which also dials
// the instance at its current address.
func (co *Core) refreshState(it *instance) {
	st, refused := co.computeState(it)
	current := Member{
		Instance: it.id, Address: it.address, CallerAddress: it.callerAddress, State: st, Refused: refused,
	}
	if current != it.published || it.dataCentre != it.publishedDataCentre {
		it.published, it.publishedDataCentre = current, it.dataCentre
		co.membersChanged, co.rolesStale = true, true
		if st != Live {
			co.adoptLeavingMarks(it.id)
		}
	}
}

// cancelDial withdraws the request for a session and returns the dialled address, or "" if no session was requested or
// another instance is dialled at that address.
func (co *Core) cancelDial(it *instance) string {
	address := it.dialledAddress
	it.dialledAddress = ""
	if address == "" {
		return ""
	}
	for _, id := range co.instanceIDs {
		if co.instances[id].dialledAddress == address {
			return "" // a replacement instance has the address
		}
	}
	return address
}

func (co *Core) dropPeer(it *instance) {
	if address := co.cancelDial(it); address != "" {
		co.emit(DropPeer{Instance: it.id, Address: address})
	}
}

// pruneInstances removes instances without a session that no source has named for ForgetAfter. Instances in the last
// list stay, also while the list is unreachable.
func (co *Core) pruneInstances() {
	var forget []*instance
	for _, id := range co.instanceIDs {
		it := co.instances[id]
		if !it.listed && !it.hasSession && co.latestTime.Sub(it.namedAt) >= co.settings.ForgetAfter {
			forget = append(forget, it)
		}
	}
	for _, it := range forget {
		co.dropPeer(it)
		delete(co.instances, it.id)
		delete(co.leavingByPeer, it.id)
		i, _ := slices.BinarySearch(co.instanceIDs, it.id)
		co.instanceIDs = slices.Delete(co.instanceIDs, i, i+1)
		co.membersChanged, co.rolesStale = true, true
	}
}

// KnownPeers returns the instances that this instance is in contact with, sorted by ID, for its heartbeats. Instances
// known only from others are left out, so that peers do not name a dead instance to each other for ever. With relays,
// instances of other data centres are left out too, because summaries name them. The list has 3.9 KB at 100 instances,
// so it should be sent when it changes and not in each heartbeat.
func (co *Core) KnownPeers() []Peer {
	var out []Peer
	for _, id := range co.instanceIDs {
		it := co.instances[id]
		if co.role.UsesRelays && it.dataCentre != co.settings.DataCentre {
			continue
		}
		if st := it.published.State; st == Live || st == Leaving || st == Suspect {
			out = append(out, Peer{
				Instance: it.id, DataCentre: it.dataCentre, Address: it.address, CallerAddress: it.callerAddress,
				Leaving: it.leaving,
			})
		}
	}
	return out
}

// memberView returns the members of every data centre in sorted order, this instance included.
func (co *Core) memberView() []DataCentre {
	self := Member{Instance: co.settings.Instance, Address: co.settings.Address, State: Live}
	if co.draining {
		self.State = Leaving
	}
	byName := map[string][]Member{co.settings.DataCentre: {self}}
	names := []string{co.settings.DataCentre}
	for _, id := range co.instanceIDs {
		it := co.instances[id]
		if it.dataCentre == "" {
			continue // its first heartbeat has not arrived
		}
		if _, ok := byName[it.dataCentre]; !ok {
			names = append(names, it.dataCentre)
		}
		byName[it.dataCentre] = append(byName[it.dataCentre], it.published)
	}
	slices.Sort(names)
	out := make([]DataCentre, 0, len(names))
	for _, name := range names {
		members := byName[name]
		slices.SortFunc(members, func(a, b Member) int {
			if a.Instance < b.Instance {
				return -1
			}
			return 1
		})
		out = append(out, DataCentre{Name: name, Members: members})
	}
	return out
}
