package lovagemember

import (
	"slices"
	"time"
)

// Settings identify this instance and hold the limits. Zero limits mean the defaults.
type Settings struct {
	Instance, DataCentre, Address string

	SuspectAfter time.Duration // silence until a peer is suspect, default 3 s
	GoneAfter    time.Duration // silence until a peer is gone, default 6 s, the TTL of an instance's lease
	RefusedAfter time.Duration // refusals until a peer is gone, default 1 s
	ForgetAfter  time.Duration // silence until a peer or worker that no source names is dropped, default 60 s
}

func (se Settings) withDefaults() Settings {
	for _, it := range []struct {
		value *time.Duration
		def   time.Duration
	}{
		{&se.SuspectAfter, 3 * time.Second},
		{&se.GoneAfter, 6 * time.Second},
		{&se.RefusedAfter, time.Second},
		{&se.ForgetAfter, time.Minute},
	} {
		if *it.value <= 0 {
			*it.value = it.def
		}
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
	case HeartbeatSeen:
		co.heartbeatSeen(ev)
	case PeerHeard:
		co.peerHeard(ev.Instance)
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
	case WorkerLeavingHeard:
		co.leavingHeard(ev.From, ev.Workers)
	case Drain:
		if !co.draining {
			co.draining, co.membersChanged = true, true
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
