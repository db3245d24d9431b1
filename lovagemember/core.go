package lovagemember

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Settings identify this instance and set its timeouts and limits. Zero selects the default.
type Settings struct {
	Instance, DataCentre, Address string

	SuspectAfter      time.Duration // silence until a peer is suspect, default 3 s
	GoneAfter         time.Duration // silence until a peer is gone, default 6 s, the TTL of an instance's lease
	GoneAfterRefusals time.Duration // time from the first refused connection until a peer is gone, default 1 s
	ForgetAfter       time.Duration // time until a peer or worker that no source names is removed, default 60 s
	HeartbeatInterval time.Duration // time between heartbeats, default 1 s

	// MeshInstances is the largest number of known instances, this one included, that all exchange heartbeats with each other.
	// With more, relays are used. Default 24.
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

// Core is the membership state machine. It is not safe for concurrent use.
type Core struct {
	settings   Settings
	draining   bool
	lastStepAt time.Time
	latestTime time.Time // advances with lastStepAt, but by at most maxAdvance a step
	commands   []Command

	instances      map[string]*instance
	instanceIDs    []string // sorted
	membersChanged bool

	role              Role
	relayID           string // ID of the local data centre's relay
	idHash            uint64
	lastRemoteContact map[string]time.Time // time of the last heartbeat or reply from each other data centre
	addressSet        map[string]struct{}  // temporary set, reused by countInstances
	rolesStale        bool                 // an input of chooseRoles changed
	rolesChosenAt     time.Time
	notifyLocal       bool // send heartbeats to local instances now, as a worker is leaving
	notifyRemote      bool // send heartbeats to the relays of other data centres now
	notifyRelay       bool // send a heartbeat to the local relay now

	workers           map[string]*worker
	declaredWorkerIDs []string                       // sorted
	leavingByPeer     map[string]map[string]struct{} // by peer: the workers that it last reported as leaving
	workersChanged    bool
	lastPruneAt       time.Time
}

// New returns a Core that knows only its own instance. The first Step emits MembersChanged.
func New(se Settings) *Core {
	return &Core{
		settings:          se.withDefaults(),
		instances:         make(map[string]*instance),
		workers:           make(map[string]*worker),
		leavingByPeer:     make(map[string]map[string]struct{}),
		idHash:            xxhash.Sum64String(se.Instance),
		lastRemoteContact: make(map[string]time.Time),
		addressSet:        make(map[string]struct{}),
		membersChanged:    true,
	}
}

// Step applies an event at the time now and appends the resulting commands to out. A time before the latest one seen is
// treated as the latest one.
func (co *Core) Step(now time.Time, ev Event, out []Command) []Command {
	co.advance(now)
	co.commands = out
	switch ev := ev.(type) {
	case ListRead:
		co.listRead(ev)
	case HeartbeatReceived:
		co.heartbeatReceived(ev)
	case SummaryReceived:
		co.summaryReceived(ev)
	case PeerReplied:
		co.peerReplied(ev)
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
		co.leavingWorkersReceived(ev.From, ev.Workers)
	case Drain:
		if !co.draining {
			co.draining, co.membersChanged, co.rolesStale = true, true, true
		}
	case Tick:
		co.tick()
	}
	co.emitChanges()
	out, co.commands = co.commands, nil
	return out
}

// maxAdvance is the most by which one step advances latestTime. The program steps the Core every 50 ms. A longer time
// without a step is this instance's own lateness, in which it could not hear from anyone.
const maxAdvance = time.Second

func (co *Core) advance(now time.Time) {
	switch {
	case co.lastStepAt.IsZero():
		co.latestTime = now
	case now.After(co.lastStepAt):
		co.latestTime = co.latestTime.Add(min(now.Sub(co.lastStepAt), maxAdvance))
	default:
		return
	}
	co.lastStepAt = now
}

func (co *Core) emit(cmd Command) { co.commands = append(co.commands, cmd) }

func (co *Core) emitChanges() {
	if co.rolesStale {
		co.chooseRoles()
	}
	co.notifyLeaving()
	if co.membersChanged {
		co.membersChanged = false
		co.emit(MembersChanged{DataCentres: co.memberView()})
	}
	if co.workersChanged {
		co.workersChanged = false
		co.emit(WorkersChanged{Workers: co.workerView()})
	}
}

func (co *Core) tick() {
	for _, id := range co.instanceIDs {
		co.refreshState(co.instances[id])
	}
	if (co.role.IsRelay || co.role.UsesRelays) && co.latestTime.Sub(co.rolesChosenAt) >= co.settings.HeartbeatInterval/4 {
		co.rolesStale = true // chooseRoles depends on how long other data centres are silent
	}
	if co.latestTime.Sub(co.lastPruneAt) >= co.settings.ForgetAfter/2 {
		co.lastPruneAt = co.latestTime
		co.pruneInstances()
		co.pruneWorkers()
	}
}

// insertSorted inserts s into a sorted slice unless it is already present.
func insertSorted(list []string, s string) []string {
	i, found := slices.BinarySearch(list, s)
	if found {
		return list
	}
	return slices.Insert(list, i, s)
}
