package lovageledger

import (
	"time"

	"lovagestack/lovagejob"
	"lovagestack/lovageplatform"
)

// Event is an input of Step: a pointer to one of the types of this file.
type Event interface{ event() }

// Mint asks for Count new keys; answered by Minted.
type Mint struct {
	Request    uint64
	Count      int
	Repeatable bool
}

// Submit submits a job; answered by exactly one of Reply and Forward. If WaitUntil is in the future, the reply waits
// until then for the end of the job. Otherwise the reply waits only for the replica's acknowledgement, if one is
// required. A job may still start after its submission has been answered with Unknown.
type Submit struct {
	Request     uint64
	Key         lovagejob.Key
	Fingerprint uint64 // hash of the submission's content; 0 if unknown, which matches any content
	Hops        int    // number of peers that have forwarded it; if not 0, it is not forwarded again
	WaitUntil   time.Time
}

// Query asks for the answer to a key; answered by exactly one of Reply and Forward.
type Query struct {
	Request   uint64
	Key       lovagejob.Key
	Hops      int
	WaitUntil time.Time
}

// Cancel asks to cancel a job; answered by exactly one of Reply and Forward. If the job is running, the reply follows
// its end, at the latest at WaitUntil.
type Cancel struct {
	Request   uint64
	Key       lovagejob.Key
	Hops      int
	WaitUntil time.Time
}

// RequestAbandoned says that the caller no longer waits for the reply to the request. The job continues.
type RequestAbandoned struct{ Request uint64 }

// JobEnded is the final outcome of an admitted key. NotRun means that no task was started; the Ledger never starts the
// key after that.
type JobEnded struct {
	Key    lovagejob.Key
	Answer lovagejob.Answer
}

// AcceptReplied is the outcome of a SendAccept.
type AcceptReplied struct {
	Peer     string
	Range    RangeID
	Batch    uint64
	Failed   bool // no reply; the peer may have handled the batch
	Accepted bool
	Epoch    int64 // epoch of the range at the replica
}

// ResultReplied is the outcome of a SendResult.
type ResultReplied struct {
	Peer     string
	Range    RangeID
	Batch    uint64
	Failed   bool // no reply; the peer may have stored the records
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
	Call  uint64 // ID that the reply repeats
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

// TableRead is the outcome of a ReadTable. If Failed is set, Rows is not valid.
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

// MembersChanged replaces the list of known entry instances.
type MembersChanged struct{ Members []Member }

// MemberState is the state of an instance as lovagemember sees it.
type MemberState string

// States of a member.
const (
	MemberLive    MemberState = "live"
	MemberSuspect MemberState = "suspect"
	MemberGone    MemberState = "gone" // has sent nothing for 6 s, or has refused sessions for 1 s
)

// Member is another entry instance.
type Member struct {
	ID         string
	DataCentre string
	State      MemberState
	Leaving    bool
	RoundTrip  time.Duration // round-trip time; ranks replica candidates in other data centres if this one has none
}

// RangesReceived carries range rows from a peer's heartbeat.
type RangesReceived struct {
	Peer   string
	Ranges []RangeState
}

// TunablesChanged replaces the settings that can change at run time. A longer lifetime does not revive keys whose
// records may have been dropped under a shorter one, because each range stores the mint time before which it dropped
// records.
type TunablesChanged struct {
	KeyLifetime     time.Duration
	AnswerRetention time.Duration
}

// Tick makes the Ledger handle everything that depends on time. The program must send one at least every 100 ms.
type Tick struct{}

// Wake must be sent at the time that a WakeAt asks for. It ends the waits that have reached their deadline, and is
// cheaper than a Tick.
type Wake struct{}

// Drain starts to hand over every owned range; answered by Drained. While ranges are left and only suspect or gone peers
// could take them, the answer waits until GiveUpAt: such a peer may be heard from again. Zero: it does not wait.
type Drain struct{ GiveUpAt time.Time }

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
