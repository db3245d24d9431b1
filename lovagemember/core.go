package lovagemember

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Settings identify this instance and hold the limits. Zero limits mean the defaults.
type Settings struct {
	Instance, DataCentre, Address string

	SuspectAfter      time.Duration // silence until a peer is suspect, default 3 s
	GoneAfter         time.Duration // silence until a peer is gone, default 6 s, the TTL of an instance's lease
	GoneAfterRefusals time.Duration // refusals until a peer is gone, default 1 s
	ForgetAfter       time.Duration // silence until a peer or worker that no source names is dropped, default 60 s
	HeartbeatInterval time.Duration // between heartbeats, default 1 s

	// MeshInstances is the largest number of known instances, this one included, with which every instance exchanges
	// heartbeats with every other; above it relays are used. Default 24.
	MeshInstances int
}

func (se Settings) withDefaults() Settings {
	for _, it := range []struct {
		value *time.Duration
		def   time.Duration
	}{
		{&se.SuspectAfter, 3 * time.Second},
		{&se.GoneAfter, 6 * time.Second},
		{&se.GoneAfterRefusals, time.Second},
		{&se.ForgetAfter, time.Minute},
		{&se.HeartbeatInterval, time.Second},
	} {
		if *it.value <= 0 {
			*it.value = it.def
		}
	}
	if se.MeshInstances <= 0 {
		se.MeshInstances = 24
	}
	return se
}

// Core is the state machine. It is not safe for concurrent use.
type Core struct {
	se       Settings
	draining bool
	now      time.Time
	out      []Command

	instances      map[string]*instance
	order          []string // sorted IDs of instances
	membersChanged bool

	role        Role
	relayID     string // of the own data centre
	hash        uint64 // of the own ID
	farBeats    map[string]time.Time
	addresses   map[string]struct{} // reused by knownInstances
	rolesDue    bool                // something changed that whom to keep a session with depends on
	rolesChosen time.Time
	tellOwn     bool // the own data centre is to be told of leaving workers at once
	tellFar     bool // the same for the other relays
	tellRelay   bool // the same for the relay of the own data centre

	workers        map[string]*worker
	declared       []string                       // sorted IDs of declared workers
	reported       map[string]map[string]struct{} // peer, then the workers that it last reported as leaving
	workersChanged bool
	lastPrune      time.Time
}

// New returns a Core that knows only its own instance. The first Step gives a MembersChanged.
func New(se Settings) *Core {
	return &Core{
		se:             se.withDefaults(),
		instances:      make(map[string]*instance),
		workers:        make(map[string]*worker),
		reported:       make(map[string]map[string]struct{}),
		hash:           xxhash.Sum64String(se.Instance),
		farBeats:       make(map[string]time.Time),
		addresses:      make(map[string]struct{}),
		membersChanged: true,
	}
}

// Step applies an event at the time now and appends the resulting commands to out. Times never run backwards; an
// earlier time counts as the latest one seen.
func (co *Core) Step(now time.Time, ev Event, out []Command) []Command {
	if now.After(co.now) {
		co.now = now
	}
	co.out = out
	switch ev := ev.(type) {
	case ListRead:
		co.listRead(ev)
	case HeartbeatReceived:
		co.heartbeatSeen(ev)
	case SummaryReceived:
		co.summarySeen(ev)
	case PeerReplied:
		co.peerHeard(ev)
	case SessionUp:
		co.sessionUp(ev.Instance)
	case SessionDown:
		co.sessionDown(ev)
	case PoolsChanged:
		co.poolsChanged(ev)
	case WorkerReplied:
		if ev.Leaving {
			co.markLeaving(ev.Worker, FromReply)
		}
	case LeavingWorkersReceived:
		co.leavingHeard(ev.From, ev.Workers)
	case Drain:
		if !co.draining {
			co.draining, co.membersChanged, co.rolesDue = true, true, true
		}
	case Tick:
		co.tick()
	}
	co.flush()
	out, co.out = co.out, nil
	return out
}

func (co *Core) emit(cmd Command) { co.out = append(co.out, cmd) }

func (co *Core) flush() {
	if co.rolesDue {
		co.chooseRoles()
	}
	co.tellLeaving()
	if co.membersChanged {
		co.membersChanged = false
		co.emit(MembersChanged{DataCentres: co.view()})
	}
	if co.workersChanged {
		co.workersChanged = false
		co.emit(WorkersChanged{Workers: co.workerView()})
	}
}

func (co *Core) tick() {
	for _, id := range co.order {
		co.refresh(co.instances[id])
	}
	if (co.role.IsRelay || co.role.UsesRelays) && co.now.Sub(co.rolesChosen) >= co.se.HeartbeatInterval/4 {
		co.rolesDue = true // a data centre may have been silent for too long
	}
	if co.now.Sub(co.lastPrune) >= co.se.ForgetAfter/2 {
		co.lastPrune = co.now
		co.pruneInstances()
		co.pruneWorkers()
	}
}

// insertSorted adds s to a sorted slice unless it is there already.
func insertSorted(list []string, s string) []string {
	i, found := slices.BinarySearch(list, s)
	if found {
		return list
	}
	return slices.Insert(list, i, s)
}
