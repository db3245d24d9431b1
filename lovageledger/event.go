package lovageledger

import (
	"time"

	"lovagestack/lovagejob"
	"lovagestack/lovageplatform"
)

// Event is an input of Step: one of the pointer types of this file.
type Event interface{ event() }

// Mint asks for Count new keys; answered by Minted.
type Mint struct {
	Request    uint64
	Count      int
	Repeatable bool
}

// Submit submits a job; answered by exactly one of Reply and Forward. With WaitUntil after now the reply waits for
// the end of the job until that time, otherwise it only waits for the replica's acknowledgement, if one is required.
// A job may start after its submission has been answered with Unknown.
type Submit struct {
	Request     uint64
	Key         lovagejob.Key
	Fingerprint uint64 // hash of the submission's content; 0 means that it is not known and is not compared
	Hops        int    // peer hops so far; a submission that came from a peer is not forwarded again
	WaitUntil   time.Time
}

// Query asks for the answer to a key; answered by exactly one of Reply and Forward.
type Query struct {
	Request   uint64
	Key       lovagejob.Key
	Hops      int
	WaitUntil time.Time
}

// Cancel asks to cancel a job; answered by exactly one of Reply and Forward. The reply to a running job comes with
// its end, or at WaitUntil.
type Cancel struct {
	Request   uint64
	Key       lovagejob.Key
	Hops      int
	WaitUntil time.Time
}

// RequestAbandoned says that the caller no longer waits for the reply to the request. The job goes on.
type RequestAbandoned struct{ Request uint64 }

// JobEnded is dispatch's last word on an admitted key. The outcome NotRun means that no task was started; the key is
// then refused for good.
type JobEnded struct {
	Key    lovagejob.Key
	Answer lovagejob.Answer
}

// AcceptReplied is the outcome of a SendAccept.
type AcceptReplied struct {
	Peer     string
	Range    RangeID
	Batch    uint64
	Failed   bool // no reply: the peer may have handled the batch or not
	Accepted bool
	Epoch    int64 // the replica's epoch of the range
}

// ResultReplied is the outcome of a SendResult.
type ResultReplied struct {
	Peer     string
	Range    RangeID
	Batch    uint64
	Failed   bool // no reply: the peer may have taken the records or not
	Accepted bool
}

// TransferReplied is the outcome of a SendTransfer.
type TransferReplied struct {
	Peer       string
	Range      RangeID
	TransferID uint64
	Chunk      int
	Failed     bool
	Accepted   bool
}

// PeerAccept is a SendAccept of another instance; answered by ReplyAccept.
type PeerAccept struct {
	Call  uint64 // given by the integrator, repeated in the reply
	Peer  string // sender
	Range RangeID
	Epoch int64
	Keys  []AcceptKey
}

// PeerResult is a SendResult of another instance; answered by ReplyResult.
type PeerResult struct {
	Call    uint64
	Peer    string
	Range   RangeID
	Records []Record
}

// PeerTransfer is a SendTransfer of another instance; answered by ReplyTransfer.
type PeerTransfer struct {
	Call  uint64
	Peer  string
	Chunk TransferChunk
}

// TableRead is the outcome of a ReadTable. With Failed set, Rows means nothing.
type TableRead struct {
	ID     uint64
	Failed bool
	Rows   []lovageplatform.Row // every row with the prefix
}

// CommitState is the outcome of a transaction.
type CommitState string

// Outcomes of a transaction.
const (
	Committed CommitState = "committed" // took effect
	Conflict  CommitState = "conflict"  // has not taken effect and never will
	Ambiguous CommitState = "ambiguous" // may take effect until a later transaction of this instance has committed
)

// TableCommitted is the outcome of a CommitTable.
type TableCommitted struct {
	ID        uint64
	State     CommitState
	Versions  map[string]int64     // new version of each written row, if committed
	Conflicts []lovageplatform.Row // current state of the rows whose checks failed; may be empty
}

// MembersChanged replaces the list of known instances.
type MembersChanged struct{ Members []Member }

// MemberState is how an instance stands in the view of lovagemember.
type MemberState string

// States of a member.
const (
	MemberLive    MemberState = "live"
	MemberSuspect MemberState = "suspect"
	MemberGone    MemberState = "gone" // silent for 6 s or its session refused for 1 s
)

// Member is another entry instance.
type Member struct {
	ID         string
	DataCentre string
	State      MemberState
	Leaving    bool
	RoundTrip  time.Duration // orders data centres when no peer of the own one can be a replica
}

// RangesReceived carries range rows from a peer's heartbeat.
type RangesReceived struct {
	Peer   string
	Ranges []RangeState
}

// TunablesChanged replaces the settings that may change while the ledger runs. A longer lifetime does not revive keys
// whose records may have been dropped under a shorter one: each range keeps the mint time before which it has dropped.
type TunablesChanged struct {
	KeyLifetime     time.Duration
	AnswerRetention time.Duration
}

// Tick tells the time. It is due at least every 100 ms.
type Tick struct{}

// Wake follows a WakeAt. It ends the waits that have reached their time, and costs less than a Tick.
type Wake struct{}

// Drain starts the hand-over of every owned range; answered by Drained.
type Drain struct{}

func (*Mint) event()             {}
func (*Submit) event()           {}
func (*Query) event()            {}
func (*Cancel) event()           {}
func (*RequestAbandoned) event() {}
func (*JobEnded) event()         {}
func (*AcceptReplied) event()    {}
func (*ResultReplied) event()    {}
func (*TransferReplied) event()  {}
func (*PeerAccept) event()       {}
func (*PeerResult) event()       {}
func (*PeerTransfer) event()     {}
func (*TableRead) event()        {}
func (*TableCommitted) event()   {}
func (*MembersChanged) event()   {}
func (*RangesReceived) event()   {}
func (*TunablesChanged) event()  {}
func (*Tick) event()             {}
func (*Wake) event()             {}
func (*Drain) event()            {}
