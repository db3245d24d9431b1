package lovagemember

import (
	"cmp"
	"slices"
	"time"
)

// chooseRoles decides with whom this instance keeps sessions and exchanges heartbeats, and whether it is the relay of
// its data centre.
func (co *Core) chooseRoles() {
	co.rolesDue, co.rolesChosen = false, co.now
	role := Role{UsesRelays: co.knownInstances() > co.se.MeshInstances}
	co.relayID = co.chooseRelay()
	// A relay that has sessions with all instances itself still serves those that have not.
	role.IsRelay = co.relayID == co.se.Instance && (role.UsesRelays || co.peersUseRelays())
	for _, id := range co.order {
		it := co.instances[id]
		it.wanted = !role.UsesRelays || it.dataCentre == "" || it.dataCentre == co.se.DataCentre
	}
	if role.UsesRelays && role.IsRelay {
		co.chooseTargets()
	} else {
		clear(co.farBeats)
	}
	for _, id := range co.order {
		co.keepSession(co.instances[id])
	}
	if role != co.role {
		co.role = role
		co.emit(RoleChanged{Role: role})
	}
}

// knownInstances counts the addresses of the known instances with this one. The platform's list may have another ID for
// an instance than its heartbeats, and a restarted process has a new one, so IDs would be counted twice.
func (co *Core) knownInstances() int {
	clear(co.addresses)
	co.addresses[co.se.Address] = struct{}{}
	for _, id := range co.order {
		if it := co.instances[id]; it.address != "" {
			co.addresses[it.address] = struct{}{}
		}
	}
	return len(co.addresses)
}

func (co *Core) peersUseRelays() bool {
	for _, id := range co.order {
		if it := co.instances[id]; it.relays && co.heardDirectly(it) {
			return true
		}
	}
	return false
}

// keepSession asks for a session with an instance that heartbeats are exchanged with, and releases others.
func (co *Core) keepSession(it *instance) {
	if it.address == co.se.Address || it.wanted && it.address == it.dialled {
		return
	}
	if !it.wanted {
		if address := co.undial(it); address != "" {
			co.emit(ReleasePeer{Instance: it.id, Address: address})
		}
		return
	}
	co.drop(it)
	if it.address != "" {
		co.emit(DialPeer{Instance: it.id, Address: it.address})
	}
	it.dialled = it.address
}

// relayRank orders the candidates for a relay: live ones first, then those that may still answer.
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

// before reports whether a is to be the relay rather than b.
func (co *Core) before(a, b *instance) bool {
	if ra, rb := relayRank(a.shown.State), relayRank(b.shown.State); ra != rb {
		return ra < rb
	}
	return compareHash(a, b) < 0
}

func compareHash(a, b *instance) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
}

// chooseRelay returns the relay of the own data centre: the live instance with the lowest hash of its ID.
func (co *Core) chooseRelay() string {
	own := &instance{id: co.se.Instance, hash: co.hash, shown: Member{State: Live}}
	if co.draining {
		own.shown.State = Leaving
	}
	best := own
	for _, id := range co.order {
		if it := co.instances[id]; it.dataCentre == co.se.DataCentre && it.address != co.se.Address && co.before(it, best) {
			best = it
		}
	}
	return best.id
}

// chooseTargets decides with whom a relay exchanges heartbeats in the other data centres: with their relays and, where
// the relay is not heard from, with those that do answer. Where nobody has answered for SuspectAfter, the two instances
// with the next higher hashes are tried, and the next two after each further SuspectAfter.
func (co *Core) chooseTargets() {
	byName := make(map[string][]*instance)
	for _, id := range co.order {
		if it := co.instances[id]; !it.wanted && it.address != "" && it.address != co.se.Address {
			byName[it.dataCentre] = append(byName[it.dataCentre], it)
		}
	}
	for name, members := range byName {
		if _, ok := co.farBeats[name]; !ok {
			co.farBeats[name] = co.now // the relay gets the same time to answer when this instance becomes one
		}
		slices.SortFunc(members, compareHash)
		first := 0
		for i, it := range members {
			if it.beat.After(co.farBeats[name]) {
				co.farBeats[name] = it.beat
			}
			if co.before(it, members[first]) {
				first = i
			}
		}
		members[first].wanted = true
		if co.heardDirectly(members[first]) {
			continue
		}
		silent := co.now.Sub(co.farBeats[name])
		for _, it := range members {
			it.wanted = it.wanted || it.dialled != "" && co.heardDirectly(it)
		}
		if tries := int(silent / co.se.SuspectAfter); tries > 0 {
			members[(first+2*tries-1)%len(members)].wanted = true
			members[(first+2*tries)%len(members)].wanted = true
		}
	}
	for name := range co.farBeats {
		if _, ok := byName[name]; !ok {
			delete(co.farBeats, name)
		}
	}
}

// heardDirectly reports whether the last heartbeat of an instance, or reply to one, is recent enough for it to be live.
func (co *Core) heardDirectly(it *instance) bool {
	return !it.beat.IsZero() && co.now.Sub(it.beat) < co.se.SuspectAfter
}

// tellLeaving asks for heartbeats to those who have to hear at once of a worker that was newly found leaving. Each of the
// three hops through two relays would otherwise take up to a heartbeat interval, 3 s in all.
func (co *Core) tellLeaving() {
	own, far, relay := co.tellOwn, co.tellFar, co.tellRelay
	co.tellOwn, co.tellFar, co.tellRelay = false, false, false
	if !co.role.UsesRelays && !co.role.IsRelay || !own && !far && !relay {
		return
	}
	var out []string
	for _, id := range co.order {
		it := co.instances[id]
		inOwn := it.dataCentre == co.se.DataCentre
		if it.wanted && (co.role.IsRelay && (inOwn && own || !inOwn && far) || relay && id == co.relayID) {
			out = append(out, id)
		}
	}
	if len(out) > 0 {
		co.emit(SendHeartbeats{Instances: out})
	}
}

// Role returns the role of this instance.
func (co *Core) Role() Role { return co.role }

// ExchangesHeartbeats reports whether heartbeats are exchanged with an instance. That holds for unknown ones too, as their first
// heartbeat tells their data centre.
func (co *Core) ExchangesHeartbeats(id string) bool {
	it := co.instances[id]
	return it == nil || it.wanted
}

// RemoteRelays returns the IDs of the instances that this instance takes for the relays of the other data centres, sorted. It is
// empty without relays.
func (co *Core) RemoteRelays() []string {
	if !co.role.UsesRelays {
		return nil
	}
	best := make(map[string]*instance)
	for _, id := range co.order {
		it := co.instances[id]
		if it.dataCentre == "" || it.dataCentre == co.se.DataCentre {
			continue
		}
		if old := best[it.dataCentre]; old == nil || co.before(it, old) {
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

// relayDelay is how much later news of an instance comes through two relays: each passes it on with its next heartbeat.
func (co *Core) relayDelay() time.Duration { return 2 * co.se.HeartbeatInterval }
