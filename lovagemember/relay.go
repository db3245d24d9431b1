package lovagemember

import (
	"cmp"
	"slices"
	"time"
)

// chooseRoles decides with which instances this one keeps sessions and exchanges heartbeats, and whether it is the
// relay of its data centre.
func (co *Core) chooseRoles() {
	co.rolesStale, co.rolesChosenAt = false, co.latestTime
	role := Role{UsesRelays: co.countInstances() > co.settings.MeshInstances}
	co.relayID = co.chooseRelay()
	// A relay that has sessions with all instances still serves peers that use relays.
	role.IsRelay = co.relayID == co.settings.Instance && (role.UsesRelays || co.peersUseRelays())
	for _, id := range co.instanceIDs {
		it := co.instances[id]
		it.exchangesHeartbeats = !role.UsesRelays || it.dataCentre == "" || it.dataCentre == co.settings.DataCentre
	}
	if role.UsesRelays && role.IsRelay {
		co.chooseRemotePeers()
	} else {
		clear(co.lastRemoteContact)
	}
	for _, id := range co.instanceIDs {
		co.updateSession(co.instances[id])
	}
	if role != co.role {
		co.role = role
		co.emit(RoleChanged{Role: role})
	}
}

// countInstances returns the number of known instances, this one included. It counts addresses, as one instance can have
// several IDs: the list may name it differently than its heartbeats, and a restarted process has a new ID.
func (co *Core) countInstances() int {
	clear(co.addressSet)
	co.addressSet[co.settings.Address] = struct{}{}
	for _, id := range co.instanceIDs {
		if it := co.instances[id]; it.address != "" {
			co.addressSet[it.address] = struct{}{}
		}
	}
	return len(co.addressSet)
}

func (co *Core) peersUseRelays() bool {
	for _, id := range co.instanceIDs {
		if it := co.instances[id]; it.usesRelays && co.exchangedRecently(it) {
			return true
		}
	}
	return false
}

// updateSession requests a session if heartbeats are exchanged with the instance, and releases it otherwise.
func (co *Core) updateSession(it *instance) {
	if it.address == co.settings.Address || it.exchangesHeartbeats && it.address == it.dialledAddress {
		return
	}
	if !it.exchangesHeartbeats {
		if address := co.cancelDial(it); address != "" {
			co.emit(ReleasePeer{Instance: it.id, Address: address})
		}
		return
	}
	co.dropPeer(it)
	if it.address != "" {
		co.emit(DialPeer{Instance: it.id, Address: it.address})
	}
	it.dialledAddress = it.address
}

// relayRank orders the candidates for a relay by state: live ones first, then those that may still answer.
func relayRank(st State) int {
	switch st {
	case Live:
		return 0
	case Suspect, Leaving:
		return 1
	case Unheard:
		return 2
	case Gone:
	}
	return 3
}

// preferredAsRelay reports whether a takes precedence over b as the relay.
func (co *Core) preferredAsRelay(a, b *instance) bool {
	if ra, rb := relayRank(a.published.State), relayRank(b.published.State); ra != rb {
		return ra < rb
	}
	return compareHash(a, b) < 0
}

func compareHash(a, b *instance) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
}

// chooseRelay returns the ID of the local data centre's relay: the one with the lowest hash among the instances of the best
// relayRank.
func (co *Core) chooseRelay() string {
	self := &instance{id: co.settings.Instance, hash: co.idHash, published: Member{State: Live}}
	if co.draining {
		self.published.State = Leaving
	}
	best := self
	for _, id := range co.instanceIDs {
		if it := co.instances[id]; it.dataCentre == co.settings.DataCentre && it.address != co.settings.Address &&
			co.preferredAsRelay(it, best) {
			best = it
		}
	}
	return best.id
}

// chooseRemotePeers selects the instances of other data centres with which a relay exchanges heartbeats: the relay of
// each data centre and, without contact with that relay, the instances there that answer. If a data centre has not
// answered for SuspectAfter, the two instances with the next higher hashes after its relay are tried, and the next two
// after each further SuspectAfter.
func (co *Core) chooseRemotePeers() {
	byName := make(map[string][]*instance)
	for _, id := range co.instanceIDs {
		if it := co.instances[id]; !it.exchangesHeartbeats && it.address != "" && it.address != co.settings.Address {
			byName[it.dataCentre] = append(byName[it.dataCentre], it)
		}
	}
	for name, members := range byName {
		if _, ok := co.lastRemoteContact[name]; !ok {
			co.lastRemoteContact[name] = co.latestTime // a new relay also waits SuspectAfter before it tries others
		}
		slices.SortFunc(members, compareHash)
		relay := 0
		for i, it := range members {
			if it.exchangedAt.After(co.lastRemoteContact[name]) {
				co.lastRemoteContact[name] = it.exchangedAt
			}
			if co.preferredAsRelay(it, members[relay]) {
				relay = i
			}
		}
		members[relay].exchangesHeartbeats = true
		if co.exchangedRecently(members[relay]) {
			continue
		}
		silent := co.latestTime.Sub(co.lastRemoteContact[name])
		for _, it := range members {
			it.exchangesHeartbeats = it.exchangesHeartbeats || it.dialledAddress != "" && co.exchangedRecently(it)
		}
		if tries := int(silent / co.settings.SuspectAfter); tries > 0 {
			members[(relay+2*tries-1)%len(members)].exchangesHeartbeats = true
			members[(relay+2*tries)%len(members)].exchangesHeartbeats = true
		}
	}
	for name := range co.lastRemoteContact {
		if _, ok := byName[name]; !ok {
			delete(co.lastRemoteContact, name)
		}
	}
}

// exchangedRecently reports whether the last heartbeat of an instance, or reply to one, is less than SuspectAfter old.
func (co *Core) exchangedRecently(it *instance) bool {
	return !it.exchangedAt.IsZero() && co.latestTime.Sub(it.exchangedAt) < co.settings.SuspectAfter
}

// notifyLeaving requests immediate heartbeats to the instances that must learn of a worker newly found leaving. Without
// them, each of the three hops through two relays takes up to a heartbeat interval, 3 s in total.
func (co *Core) notifyLeaving() {
	local, remote, relay := co.notifyLocal, co.notifyRemote, co.notifyRelay
	co.notifyLocal, co.notifyRemote, co.notifyRelay = false, false, false
	if !co.role.UsesRelays && !co.role.IsRelay || !local && !remote && !relay {
		return
	}
	var out []string
	for _, id := range co.instanceIDs {
		it := co.instances[id]
		isLocal := it.dataCentre == co.settings.DataCentre
		if it.exchangesHeartbeats && (co.role.IsRelay && (isLocal && local || !isLocal && remote) || relay && id == co.relayID) {
			out = append(out, id)
		}
	}
	if len(out) > 0 {
		co.emit(SendHeartbeats{Instances: out})
	}
}

// Role returns the role of this instance.
func (co *Core) Role() Role { return co.role }

// ExchangesHeartbeats reports whether heartbeats are exchanged with an instance. It is true for unknown instances,
// because only their first heartbeat names their data centre.
func (co *Core) ExchangesHeartbeats(id string) bool {
	it := co.instances[id]
	return it == nil || it.exchangesHeartbeats
}

// RemoteRelays returns the sorted IDs of the relays of the other data centres, as this instance sees them; nil without relays.
func (co *Core) RemoteRelays() []string {
	if !co.role.UsesRelays {
		return nil
	}
	best := make(map[string]*instance)
	for _, id := range co.instanceIDs {
		it := co.instances[id]
		if it.dataCentre == "" || it.dataCentre == co.settings.DataCentre {
			continue
		}
		if old := best[it.dataCentre]; old == nil || co.preferredAsRelay(it, old) {
			best[it.dataCentre] = it
		}
	}
	out := make([]string, 0, len(best))
	for _, it := range best {
		out = append(out, it.id)
	}
	slices.Sort(out)
	return out
}

// relayDelay is the additional delay of a report that passes two relays: each relay forwards the report with its next
// heartbeat.
func (co *Core) relayDelay() time.Duration { return 2 * co.settings.HeartbeatInterval }
