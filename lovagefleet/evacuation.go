package lovagefleet

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lovagestack/lovagemessage"
	"lovagestack/lovagepool"
)

// Evacuation is what the operators' table says of a data centre: a row requests that nothing more is sent to its workers.
type Evacuation struct {
	DataCentre string
	Version    int64 // version of the row or of its removal
	Requested  bool
	Fault      string // why the value of the row cannot be decoded; the row is a request all the same
}

// OperatorRows is what one read of the operators' table has shown.
type OperatorRows struct {
	Configuration *Configuration // nil: none that is newer than asked for
	Evacuations   []Evacuation
	Version       int64 // version of the store that the read shows; 0, without Whole: the read failed
	Whole         bool  // all rows were read, not only changes, so that other data centres are not to be evacuated
}

// succeeded reports whether the rows were read.
func (or OperatorRows) succeeded() bool { return or.Whole || or.Version > 0 }

const (
	// defaultEvacuateWithin applies if the settings have no bound for evacuations.
	defaultEvacuateWithin = 5 * time.Second
	// evacuationNotice is how long an owner that has seen a request goes on starting tasks of its own jobs. By its end the peers
	// have dropped the owner's former load report, and offloads that they decided by it have arrived or are too old.
	evacuationNotice = lovagepool.MaxReportAge
	// maxReportedFaults limits how many faulty rows are remembered so that each is logged once.
	maxReportedFaults = 1000
)

// evacuations holds what an instance knows of the requests to evacuate data centres, from the store and from peers. The store's version
// orders requests and withdrawals, so that an older state never replaces a newer one. It is safe for concurrent use.
type evacuations struct {
	dataCentres []string
	within      time.Duration                                // bound for an evacuation
	inForce     atomic.Pointer[map[string]evacuationInForce] // by data centre; nil: none
	generation  atomic.Int64                                 // counts what may change the restrictions of workers and peers

	mu       sync.Mutex
	states   map[string]evacuationState // by data centre; missing: never requested
	version  int64                      // of the store in the last read of all rows; 0: none
	partial  bool                       // that read showed rows of data centres that this instance does not know
	known    bool                       // the requests are known, from the store or from a peer
	readAt   time.Time                  // start of the last successful read of the store
	reported map[string]int64           // versions of faulty rows that were reported, by data centre
}

type evacuationState struct {
	version   int64
	requested bool
	closeAt   time.Time // when the workers get no starts any more
}

// evacuationInForce is a request that has not been withdrawn.
type evacuationInForce struct {
	version int64
	closeAt time.Time
}

// evacuationEvent is a change of an evacuation, or a finding about its row.
type evacuationEvent struct {
	kind evacuationEventKind
	Evacuation
	closeIn time.Duration // of evacuationRequested: time until the workers are closed
}

type evacuationEventKind string

const (
	evacuationRequested evacuationEventKind = "requested"
	evacuationRepeated  evacuationEventKind = "repeated" // the row was written again
	evacuationWithdrawn evacuationEventKind = "withdrawn"
	evacuationUnknown   evacuationEventKind = "unknown" // there is no such data centre
	evacuationFaulty    evacuationEventKind = "faulty"  // the row's value cannot be decoded
)

func newEvacuations(dataCentres []string, within time.Duration) *evacuations {
	if within <= 0 {
		within = defaultEvacuateWithin
	}
	return &evacuations{
		dataCentres: dataCentres, within: within, states: map[string]evacuationState{}, reported: map[string]int64{},
	}
}

// applyRows applies a read of the store that began at the given time.
func (ev *evacuations) applyRows(now, began time.Time, or OperatorRows) []evacuationEvent {
	if !or.succeeded() {
		return nil
	}
	ev.mu.Lock()
	defer ev.mu.Unlock()
	var events []evacuationEvent
	listed, partial := map[string]bool{}, false
	for _, ro := range or.Evacuations {
		listed[ro.DataCentre] = true
		switch {
		case !slices.Contains(ev.dataCentres, ro.DataCentre):
			events = ev.report(events, evacuationUnknown, ro)
			partial = true
			continue
		case ro.Fault != "":
			events = ev.report(events, evacuationFaulty, ro)
		}
		if or.Whole || !ev.isOutdated(ro.DataCentre, ro.Version, ro.Requested) {
			events = ev.apply(now, events, ro, true)
		}
	}
	if or.Whole {
		for dc, st := range ev.states {
			if st.requested && !listed[dc] {
				events = ev.apply(now, events, Evacuation{DataCentre: dc, Version: or.Version}, true)
			}
		}
		if or.Version >= ev.version {
			ev.version, ev.partial = or.Version, partial
		}
	}
	ev.known = true
	if began.After(ev.readAt) {
		ev.readAt = began
	}
	return events
}

// apply applies a request or a withdrawal if it is newer than what is known. The caller holds mu.
func (ev *evacuations) apply(now time.Time, events []evacuationEvent, ro Evacuation, fromStore bool) []evacuationEvent {
	st := ev.states[ro.DataCentre]
	if ro.Version <= st.version {
		return events
	}
	was := st.requested
	st.version, st.requested = ro.Version, ro.Requested
	en := evacuationEvent{Evacuation: ro}
	switch {
	case ro.Requested && !was:
		st.closeAt = ev.closingTime(now)
		en.kind, en.closeIn = evacuationRequested, max(st.closeAt.Sub(now), 0)
	case ro.Requested:
		en.kind = evacuationRepeated
	case was:
		en.kind = evacuationWithdrawn
	}
	ev.states[ro.DataCentre] = st
	ev.publish()
	if en.kind == "" || en.kind == evacuationRepeated && !fromStore {
		return events
	}
	return append(events, en)
}

// isOutdated reports whether a read of all rows has shown since that a row of the version is gone. The caller holds mu.
func (ev *evacuations) isOutdated(dataCentre string, version int64, requested bool) bool {
	return requested && !ev.states[dataCentre].requested && version <= ev.version
}

// closingTime returns when the workers of a data centre are closed whose request is seen now. The store has accepted the request after the
// last successful read began, which did not show it; the switch takes no longer than half of the bound from then on.
func (ev *evacuations) closingTime(now time.Time) time.Time {
	if ev.readAt.IsZero() {
		return now
	}
	latest := ev.readAt.Add(ev.within / 2)
	if at := now.Add(evacuationNotice); at.Before(latest) {
		return at
	}
	return latest
}

// report adds a finding about a row, once for each version. The caller holds mu.
func (ev *evacuations) report(events []evacuationEvent, kind evacuationEventKind, ro Evacuation) []evacuationEvent {
	if ev.reported[ro.DataCentre] >= ro.Version || !ro.Requested {
		return events
	}
	if len(ev.reported) >= maxReportedFaults {
		clear(ev.reported)
	}
	ev.reported[ro.DataCentre] = ro.Version
	return append(events, evacuationEvent{kind: kind, Evacuation: ro})
}

// publish updates inForce. The caller holds mu.
func (ev *evacuations) publish() {
	inForce := map[string]evacuationInForce{}
	for dc, st := range ev.states {
		if st.requested {
			inForce[dc] = evacuationInForce{st.version, st.closeAt}
		}
	}
	if len(inForce) == 0 {
		ev.inForce.Store(nil)
	} else {
		ev.inForce.Store(&inForce)
	}
	ev.generation.Add(1)
}

// current returns the requests that have not been withdrawn, by data centre. The caller must not change them.
func (ev *evacuations) current() map[string]evacuationInForce {
	if inForce := ev.inForce.Load(); inForce != nil {
		return *inForce
	}
	return nil
}

// requested reports whether the data centre is to be evacuated.
func (ev *evacuations) requested(dataCentre string) bool {
	_, ok := ev.current()[dataCentre]
	return ok
}

// closed reports whether the workers of the data centre get no starts any more.
func (ev *evacuations) closed(now time.Time, dataCentre string) bool {
	in, ok := ev.current()[dataCentre]
	return ok && !now.Before(in.closeAt)
}

// allRequested reports whether all data centres are to be evacuated.
func (ev *evacuations) allRequested() bool {
	return len(ev.dataCentres) > 0 && len(ev.current()) == len(ev.dataCentres)
}

// closeNow ends the notice of all requests.
func (ev *evacuations) closeNow(now time.Time) {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	for dc, st := range ev.states {
		if st.requested && st.closeAt.After(now) {
			st.closeAt = now
			ev.states[dc] = st
		}
	}
	ev.publish()
}

// knowledge returns the start of the last successful read, and whether the requests are known at all, from the store or from a peer.
func (ev *evacuations) knowledge() (readAt time.Time, known bool) {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	return ev.readAt, ev.known
}

// asOf returns the state of a data centre as this instance reports it to its peers. The caller holds mu.
func (ev *evacuations) asOf(dataCentre string) *lovagemessage.Evacuation {
	st := ev.states[dataCentre]
	if !st.requested {
		st.version = max(st.version, ev.version) // the last read of all rows did not show a request either
	}
	return &lovagemessage.Evacuation{DataCentre: dataCentre, Version: st.version, Requested: st.requested}
}

// addTo adds what is known to a report for the peers.
func (ev *evacuations) addTo(st *lovagemessage.Standing) {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	if !ev.partial { // a data centre that is not listed would count as one that is not to be evacuated
		st.EvacuationVersion = ev.version
	}
	for _, dc := range ev.dataCentres {
		if _, ok := ev.states[dc]; ok {
			st.Evacuations = append(st.Evacuations, ev.asOf(dc))
		}
	}
}

// applyReport applies a peer's report, and returns what this instance knows better than the peer.
func (ev *evacuations) applyReport(now time.Time, st *lovagemessage.Standing) ([]evacuationEvent, []*lovagemessage.Evacuation) {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	ev.known = ev.known || st.GetEvacuationVersion() > 0
	if len(ev.states) == 0 && len(st.GetEvacuations()) == 0 {
		return nil, nil // as usual: no request is known to either
	}
	theirs := map[string]*lovagemessage.Evacuation{}
	for _, dc := range ev.dataCentres {
		theirs[dc] = &lovagemessage.Evacuation{DataCentre: dc, Version: st.GetEvacuationVersion()}
	}
	for _, en := range st.GetEvacuations() {
		theirs[en.GetDataCentre()] = en
	}
	var events []evacuationEvent
	var newer []*lovagemessage.Evacuation
	for _, dc := range ev.dataCentres {
		events = ev.applyFromPeer(now, events, theirs[dc])
		if own := ev.asOf(dc); own.GetRequested() != theirs[dc].GetRequested() && own.GetVersion() > theirs[dc].GetVersion() {
			newer = append(newer, own)
		}
	}
	return events, newer
}

// applyReply applies a peer's reply to a report.
func (ev *evacuations) applyReply(now time.Time, sr *lovagemessage.StandingReply) []evacuationEvent {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	var events []evacuationEvent
	for _, en := range sr.GetEvacuations() {
		events = ev.applyFromPeer(now, events, en)
	}
	return events
}

// applyFromPeer applies what a peer knows of a data centre. The caller holds mu.
func (ev *evacuations) applyFromPeer(now time.Time, events []evacuationEvent, en *lovagemessage.Evacuation) []evacuationEvent {
	dc := en.GetDataCentre()
	if !slices.Contains(ev.dataCentres, dc) || !en.GetRequested() && !ev.states[dc].requested ||
		ev.isOutdated(dc, en.GetVersion(), en.GetRequested()) {
		return events
	}
	return ev.apply(now, events, Evacuation{DataCentre: dc, Version: en.GetVersion(), Requested: en.GetRequested()}, false)
}
