package lovagemember

import (
	"time"

	"lovagestack/lovageplatform"
)

// Event is an input of a Core.
type Event interface{ isEvent() }

// ListRead is a successful read of the platform's list. There is no event for a failed read: the Core keeps the last list.
type ListRead struct{ Instances []lovageplatform.Instance }

// HeartbeatReceived is a heartbeat from a peer. LeavingWorkers is the complete set of workers that the peer itself
// found leaving. KnownPeers are the instances that the peer is in contact with.
type HeartbeatReceived struct {
	Instance, DataCentre, Address string
	CallerAddress                 string // address of the caller API; empty if callers cannot reach it
	Leaving                       bool
	LeavingWorkers                []string
	KnownPeers                    []Peer
	UsesRelays                    bool
	Details                       any // opaque to the Core, which copies it into summaries
}

// SummaryReceived is a summary of another data centre's instances, sent by its relay or forwarded by the relay of the
// local data centre.
type SummaryReceived struct{ Summary }

// Summary is what the instance Relay knows about the instances of a data centre.
type Summary struct {
	DataCentre, Relay string
	Members           []Report
}

// Report is the entry for one instance in a summary.
type Report struct {
	Instance, Address string
	State             State
	Age               time.Duration // time since the last contact with the instance
	LeavingWorkers    []string      // as in HeartbeatReceived
	Details           any           // as in HeartbeatReceived; nil in the relay's report about itself
	CallerAddress     string        // as in HeartbeatReceived; empty in the relay's report about itself
}

// Peer is an instance as known to another instance.
type Peer struct {
	Instance, DataCentre, Address string
	CallerAddress                 string
	Leaving                       bool
}

// PeerReplied reports that a peer replied to a heartbeat.
type PeerReplied struct {
	Instance   string
	UsesRelays bool
}

// SessionUp reports that a session with an instance is established.
type SessionUp struct{ Instance string }

// SessionDown reports that a session is lost or, with Refused, that the instance's machine refused a new one.
type SessionDown struct {
	Instance string
	Refused  bool
}

// PoolsChanged is the complete set of workers that the pools declare.
type PoolsChanged struct{ Workers []DeclaredWorker }

// DeclaredWorker is a worker as a pool declares it. Empty fields are taken from the platform's list.
type DeclaredWorker struct{ Worker, DataCentre, Address string }

// WorkerReplied is a reply of a worker, refusals included. Leaving reports whether a header of the reply says that the
// worker is leaving. A refusal without the header does not mark the worker as leaving, because a worker also refuses
// when two instances use the same slot.
type WorkerReplied struct {
	Worker  string
	Leaving bool
}

// LeavingWorkersReceived is the complete set of workers that a peer itself found leaving, from its reply to a heartbeat.
type LeavingWorkersReceived struct {
	From    string
	Workers []string
}

// Drain reports that this instance is leaving.
type Drain struct{}

// Tick advances the time. It must be sent at least once a second.
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

// MembersChanged is the new view of the instances. It shares no memory with the Core.
type MembersChanged struct{ DataCentres []DataCentre }

// DataCentre holds the members of one data centre, sorted by instance ID.
type DataCentre struct {
	Name    string
	Members []Member
}

// SharingIDs returns the sorted IDs of the members that share the slots of the data centre.
func (da DataCentre) SharingIDs() []string {
	var out []string
	for _, me := range da.Members {
		if me.HasShare() {
			out = append(out, me.Instance)
		}
	}
	return out
}

// Member is an instance in this instance's view.
type Member struct {
	Instance, Address string
	CallerAddress     string // as in HeartbeatReceived; empty for this instance
	State             State
	Refused           bool // gone because its machine refuses connections: the process has ended
}

// HasShare reports whether the member has a share of the slots. A suspect member keeps its share until it is gone, so that a
// short loss of contact does not move slots away and back.
func (me Member) HasShare() bool { return me.State == Live || me.State == Suspect }

// State is the state of an instance or a worker.
type State string

// States. A worker is either live or leaving.
const (
	Unheard State = "unheard" // known from the list or from peers; no contact yet
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

// WorkerLeaving reports that a worker must get no new work. It is emitted once per registration of the worker.
type WorkerLeaving struct {
	Worker string
	Source Source
}

// Source says how this instance learned that a worker is leaving.
type Source string

// Sources of leaving marks.
const (
	FromList  Source = "list"
	FromReply Source = "reply"
	FromPeer  Source = "peer"
)

// DialPeer requests that a session with an instance be established and kept up.
type DialPeer struct{ Instance, Address string }

// DropPeer ends an earlier DialPeer. The instance is no longer known, or no longer at that address.
type DropPeer struct{ Instance, Address string }

// ReleasePeer ends an earlier DialPeer to an instance with which no heartbeats are exchanged any more. The session may
// stay open while requests use it.
type ReleasePeer struct{ Instance, Address string }

// ReportApplied reports that a summary held a newer report about an instance of another data centre.
type ReportApplied struct {
	Instance, DataCentre string
	Age                  time.Duration // as in Report
	Details              any
}

// RoleChanged is the new role of this instance.
type RoleChanged struct{ Role Role }

// Role determines with which instances this one exchanges heartbeats. The zero value is the role in a full mesh.
type Role struct {
	UsesRelays bool // heartbeats go through relays instead of a full mesh
	IsRelay    bool // this instance is the relay of its data centre; also set in a full mesh if peers use relays
}

// SendHeartbeats requests heartbeats ahead of schedule, because a worker was found leaving.
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
