package lovagemember

import (
	"time"

	"lovagestack/lovageplatform"
)

// Event is an input of a Core.
type Event interface{ isEvent() }

// ListRead is a successful read of the platform's list. A failed read is no event: the last view stays.
type ListRead struct{ Instances []lovageplatform.Instance }

// HeartbeatReceived is a heartbeat of a peer. LeavingWorkers is the whole set of workers that the peer itself found
// leaving. KnownPeers are the instances that the peer hears from.
type HeartbeatReceived struct {
	Instance, DataCentre, Address string
	CallerAddress                 string // of the caller API; empty if callers cannot reach it
	Leaving                       bool
	LeavingWorkers                []string
	KnownPeers                    []Peer
	UsesRelays                    bool // the peer uses relays
	Details                       any  // passed on in summaries; the Core does not look into it
}

// SummaryReceived is a summary of a data centre's instances, from its relay or passed on by the relay of the own data
// centre.
type SummaryReceived struct{ Summary }

// Summary is what a relay knows of the instances of a data centre.
type Summary struct {
	DataCentre, Relay string
	Members           []Report
}

// Report is what a summary says of one instance.
type Report struct {
	Instance, Address string
	State             State
	Age               time.Duration // since the instance was heard from
	LeavingWorkers    []string      // the whole set of workers that the instance itself found leaving
	Details           any           // as in HeartbeatReceived; nil in a report about this instance
	CallerAddress     string        // as in HeartbeatReceived; empty in a report about this instance
}

// Peer is an instance as another instance knows it.
type Peer struct {
	Instance, DataCentre, Address string
	CallerAddress                 string
	Leaving                       bool
}

// PeerReplied says that a peer replied to a heartbeat.
type PeerReplied struct {
	Instance   string
	UsesRelays bool // the peer uses relays
}

// SessionUp says that a session with an instance is established.
type SessionUp struct{ Instance string }

// SessionDown says that a session is lost or, with Refused, that the instance's machine refused a new one.
type SessionDown struct {
	Instance string
	Refused  bool
}

// PoolsChanged is the whole set of workers that the pools declare.
type PoolsChanged struct{ Workers []DeclaredWorker }

// DeclaredWorker is a worker as a pool declares it. What is empty comes from the list.
type DeclaredWorker struct{ Worker, DataCentre, Address string }

// WorkerReplied is a reply of a worker, refusals included. Leaving says that it carried the leaving header. A refusal
// without the header does not mark the worker: it also refuses when two instances use the same slot.
type WorkerReplied struct {
	Worker  string
	Leaving bool
}

// LeavingWorkersReceived is the whole set of workers that a peer itself found leaving, from the reply to a heartbeat.
type LeavingWorkersReceived struct {
	From    string
	Workers []string
}

// Drain says that this instance is leaving.
type Drain struct{}

// Tick lets time pass. It is due every second or more often.
type Tick struct{}

func (ListRead) isEvent()               {}
func (HeartbeatReceived) isEvent()      {}
func (SummaryReceived) isEvent()        {}
func (PeerReplied) isEvent()            {}
func (SessionUp) isEvent()              {}
func (SessionDown) isEvent()            {}
func (PoolsChanged) isEvent()           {}
func (WorkerReplied) isEvent()          {}
func (LeavingWorkersReceived) isEvent() {}
func (Drain) isEvent()                  {}
func (Tick) isEvent()                   {}

// Command is an output of a Core.
type Command interface{ isCommand() }

// MembersChanged is the new view of the instances. It shares nothing with the Core.
type MembersChanged struct{ DataCentres []DataCentre }

// DataCentre holds the members of one data centre, sorted by instance ID.
type DataCentre struct {
	Name    string
	Members []Member
}

// SharingIDs returns the IDs of the members that share the slots of the data centre, sorted.
func (da DataCentre) SharingIDs() []string {
	var out []string
	for _, me := range da.Members {
		if me.HasShare() {
			out = append(out, me.Instance)
		}
	}
	return out
}

// Member is an instance as this instance sees it.
type Member struct {
	Instance, Address string
	CallerAddress     string // of the caller API; empty if callers cannot reach it, and for the own instance
	State             State
	Refused           bool // gone because its machine refuses connections, so the process has ended
}

// HasShare reports whether the member has a share of the slots. A suspect keeps its share until it is gone, so that a
// short silence does not move slots twice.
func (me Member) HasShare() bool { return me.State == Live || me.State == Suspect }

// State is the state of an instance or a worker.
type State string

// States. Workers are only ever live or leaving.
const (
	Unheard State = "unheard" // known from the list or from peers only
	Live    State = "live"
	Suspect State = "suspect"
	Gone    State = "gone"
	Leaving State = "leaving"
)

// WorkersChanged is the new set of declared workers, sorted by ID.
type WorkersChanged struct{ Workers []Worker }

// Worker is a declared worker.
type Worker struct {
	Worker, DataCentre, Address string
	State                       State
}

// WorkerLeaving says that a worker must get no new work. It is given once per registration of the worker.
type WorkerLeaving struct {
	Worker string
	Source Source
}

// Source is where a leaving mark came from.
type Source string

// Sources of leaving marks.
const (
	FromList  Source = "list"
	FromReply Source = "reply"
	FromPeer  Source = "peer"
)

// DialPeer asks for a session with an instance to be kept up.
type DialPeer struct{ Instance, Address string }

// DropPeer ends an earlier DialPeer. The instance is not known any more, or not at that address.
type DropPeer struct{ Instance, Address string }

// ReleasePeer ends an earlier DialPeer to an instance that heartbeats are no longer exchanged with. The session may stay
// as long as requests use it.
type ReleasePeer struct{ Instance, Address string }

// ReportApplied says that a summary brought something newer about an instance of another data centre.
type ReportApplied struct {
	Instance, DataCentre string
	Age                  time.Duration // since the instance was heard from
	Details              any
}

// RoleChanged is the new role of this instance.
type RoleChanged struct{ Role Role }

// Role says with whom this instance exchanges heartbeats. The zero value is that of an instance in a full mesh.
type Role struct {
	UsesRelays bool // there are relays, and not sessions between all instances
	IsRelay    bool // this instance is the relay of its data centre, for itself or for peers that use relays
}

// SendHeartbeats asks for heartbeats ahead of time, because a worker was found leaving.
type SendHeartbeats struct{ Instances []string }

func (MembersChanged) isCommand() {}
func (WorkersChanged) isCommand() {}
func (WorkerLeaving) isCommand()  {}
func (DialPeer) isCommand()       {}
func (DropPeer) isCommand()       {}
func (ReleasePeer) isCommand()    {}
func (ReportApplied) isCommand()  {}
func (RoleChanged) isCommand()    {}
func (SendHeartbeats) isCommand() {}
