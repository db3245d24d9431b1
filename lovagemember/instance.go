package lovagemember

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagestack/lovageplatform"
)

// instance is what is known about one peer.
type instance struct {
	id, dataCentre, address string
	callerAddress           string
	known                   time.Time // when any source last named it
	heard                   time.Time // last direct sign of life; zero: never
	beat                    time.Time // last heartbeat or reply to one; zero: never
	told                    time.Time // last heartbeat, which unlike a reply holds all that is to be known; zero: never
	reported                time.Time // when its relay heard from it, by the newest report; zero: no report
	said                    State     // by the newest report
	leaving                 bool      // by its own last heartbeat or the newest report
	details                 any       // of the last heartbeat or the newest report
	hash                    uint64    // of the ID
	relays                  bool      // by its own last heartbeat or reply
	wanted                  bool      // heartbeats are exchanged with it
	listed, listedLeaving   bool      // in the last list
	session                 bool
	refusedSince            time.Time // first of the refusals since the last sign of life; zero: none
	dialled                 string    // address of the last DialPeer
	shown                   Member    // as in the last view
	shownDataCentre         string
}

func (co *Core) listRead(ev ListRead) {
	listed := make(map[string]lovageplatform.Instance, len(ev.Instances))
	for _, in := range ev.Instances {
		if in.Kind == lovageplatform.KindEntry && in.ID != "" && in.ID != co.se.Instance {
			listed[in.ID] = in
		}
	}
	for _, in := range ev.Instances {
		if _, ok := listed[in.ID]; ok && in.Kind == lovageplatform.KindEntry {
			co.instance(in.ID)
		}
	}
	for _, id := range co.order {
		it := co.instances[id]
		entry, ok := listed[id]
		it.listed, it.listedLeaving = ok, ok && entry.State == lovageplatform.StateLeaving
		if ok {
			it.known = co.now
			// While the peer is heard from, its own word counts more than the list, which lags.
			if st, _ := co.state(it); st == Unheard || st == Gone || it.address == "" {
				it.dataCentre, it.address = entry.DataCentre, entry.Address
			}
		}
		co.refresh(it)
	}
	co.listWorkers(ev.Instances)
}

func (co *Core) heartbeatSeen(ev HeartbeatReceived) {
	for _, pe := range ev.KnownPeers {
		co.peerNamed(pe)
	}
	if ev.Instance == "" || ev.Instance == co.se.Instance {
		return
	}
	it := co.instance(ev.Instance)
	it.dataCentre, it.address, it.leaving, it.details = ev.DataCentre, ev.Address, ev.Leaving, ev.Details
	it.callerAddress = ev.CallerAddress
	it.told = co.now
	co.beat(it, ev.UsesRelays)
	co.leavingHeard(ev.Instance, ev.LeavingWorkers)
}

// peerNamed notes an instance that a peer hears from. That is a reason to dial it, not to trust it.
func (co *Core) peerNamed(pe Peer) {
	if pe.Instance == "" || pe.Instance == co.se.Instance {
		return
	}
	it := co.instance(pe.Instance)
	it.known = co.now
	if st, _ := co.state(it); st == Unheard || st == Gone {
		it.dataCentre, it.address, it.leaving = pe.DataCentre, pe.Address, pe.Leaving
		it.callerAddress = pe.CallerAddress
	}
	co.refresh(it)
}

func (co *Core) peerHeard(ev PeerReplied) {
	if it := co.instances[ev.Instance]; it != nil {
		co.beat(it, ev.UsesRelays)
	}
}

// beat notes a heartbeat or a reply to one.
func (co *Core) beat(it *instance, relays bool) {
	if it.relays != relays || it.beat.IsZero() {
		co.rolesDue = true
	}
	it.beat, it.relays = co.now, relays
	co.alive(it)
}

func (co *Core) sessionUp(id string) {
	if id == "" || id == co.se.Instance {
		return
	}
	it := co.instance(id)
	it.session = true
	co.alive(it)
}

func (co *Core) sessionDown(ev SessionDown) {
	it := co.instances[ev.Instance]
	if it == nil {
		return
	}
	it.session = false
	if ev.Refused && it.refusedSince.IsZero() {
		it.refusedSince = co.now
	}
	co.refresh(it)
}

// alive notes a sign of life.
func (co *Core) alive(it *instance) {
	it.known, it.heard, it.refusedSince = co.now, co.now, time.Time{}
	co.refresh(it)
}

// instance returns the record of an ID and creates it if needed.
func (co *Core) instance(id string) *instance {
	it := co.instances[id]
	if it == nil {
		it = &instance{id: id, known: co.now, hash: xxhash.Sum64String(id)}
		co.rolesDue = true
		co.instances[id] = it
		co.order = insertSorted(co.order, id)
	}
	return it
}

func (co *Core) state(it *instance) (st State, refused bool) {
	suspectAfter, goneAfter, said := co.se.SuspectAfter, co.se.GoneAfter, Live
	if it.reported.After(it.beat) && !co.heardDirectly(it) {
		suspectAfter, goneAfter, said = suspectAfter+co.relayDelay(), goneAfter+co.relayDelay(), it.said
	}
	heard := it.lastHeard()
	switch silent := co.now.Sub(heard); {
	case heard.IsZero():
		return Unheard, false
	case !it.refusedSince.IsZero() && co.now.Sub(it.refusedSince) >= co.se.GoneAfterRefusals:
		return Gone, true
	case silent >= goneAfter || said == Gone:
		return Gone, false
	case it.leaving || it.listedLeaving:
		return Leaving, false
	case silent >= suspectAfter || said == Suspect || !it.refusedSince.IsZero():
		return Suspect, false
	}
	return Live, false
}

// refresh recomputes the state of an instance and has it dialled at its current address.
func (co *Core) refresh(it *instance) {
	st, refused := co.state(it)
	shown := Member{
		Instance: it.id, Address: it.address, CallerAddress: it.callerAddress, State: st, Refused: refused,
	}
	if shown != it.shown || it.dataCentre != it.shownDataCentre {
		it.shown, it.shownDataCentre = shown, it.dataCentre
		co.membersChanged, co.rolesDue = true, true
		if st != Live {
			co.adoptMarks(it.id)
		}
	}
}

// undial ends the request for a session and returns its address, or "" if there was none or another instance uses it.
func (co *Core) undial(it *instance) string {
	address := it.dialled
	it.dialled = ""
	if address == "" {
		return ""
	}
	for _, id := range co.order {
		if co.instances[id].dialled == address {
			return "" // a successor took over the address
		}
	}
	return address
}

func (co *Core) drop(it *instance) {
	if address := co.undial(it); address != "" {
		co.emit(DropPeer{Instance: it.id, Address: address})
	}
}

// pruneInstances forgets instances that no source has named for a while. What the last list names stays, also while
// the list is unreachable.
func (co *Core) pruneInstances() {
	var forget []*instance
	for _, id := range co.order {
		it := co.instances[id]
		if !it.listed && !it.session && co.now.Sub(it.known) >= co.se.ForgetAfter {
			forget = append(forget, it)
		}
	}
	for _, it := range forget {
		co.drop(it)
		delete(co.instances, it.id)
		delete(co.reported, it.id)
		i, _ := slices.BinarySearch(co.order, it.id)
		co.order = slices.Delete(co.order, i, i+1)
		co.membersChanged, co.rolesDue = true, true
	}
}

// KnownPeers returns the instances that this instance hears from, sorted by ID, for its heartbeats. Instances known only
// from others are left out, so that a dead one is not passed on for ever; with relays, summaries name the instances of
// other data centres. The list grows with the number of instances, 3.9 KB at 100, so it is to be sent when it changes
// and not in each heartbeat.
func (co *Core) KnownPeers() []Peer {
	var out []Peer
	for _, id := range co.order {
		it := co.instances[id]
		if co.role.UsesRelays && it.dataCentre != co.se.DataCentre {
			continue
		}
		if st := it.shown.State; st == Live || st == Leaving || st == Suspect {
			out = append(out, Peer{
				Instance: it.id, DataCentre: it.dataCentre, Address: it.address, CallerAddress: it.callerAddress,
				Leaving: it.leaving,
			})
		}
	}
	return out
}

// view returns the members of every data centre in sorted order, this instance included.
func (co *Core) view() []DataCentre {
	own := Member{Instance: co.se.Instance, Address: co.se.Address, State: Live}
	if co.draining {
		own.State = Leaving
	}
	byName := map[string][]Member{co.se.DataCentre: {own}}
	names := []string{co.se.DataCentre}
	for _, id := range co.order {
		it := co.instances[id]
		if it.dataCentre == "" {
			continue // met, but its first heartbeat is still to come
		}
		if _, ok := byName[it.dataCentre]; !ok {
			names = append(names, it.dataCentre)
		}
		byName[it.dataCentre] = append(byName[it.dataCentre], it.shown)
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
