package lovageledger

import (
	"time"

	"lovagestack/lovagejob"
	"lovagestack/lovageplatform"
)

// Command is an output of Step: a value of one of the types of this file.
type Command interface{ command() }

// Minted answers a Mint. If Keys is empty, either Full is set because this instance holds its maximum of records, or
// Peers lists the live peers to ask, because no owned range can accept submissions now or this instance drains.
type Minted struct {
	Request uint64
	Keys    []lovagejob.Key
	Peers   []string
	Full    bool
}

// Admit hands a key to dispatch. It is emitted at most once per key across all instances.
type Admit struct {
	Key         lovagejob.Key
	Fingerprint uint64 // of the submission that is admitted; others of the key may wait with other content
}

// Fault is an error in a request.
type Fault string

// Faults.
const (
	FaultFingerprint Fault = "fingerprintMismatch" // the key belongs to a submission with other content
	FaultKey         Fault = "badKey"              // no instance can have minted the key
)

// Reply answers a Submit, a Query or a Cancel. If Fault is set, the answer holds only the key, the outcome Unknown and
// the reason.
type Reply struct {
	Request      uint64
	Answer       lovagejob.Answer
	Fault        Fault
	Unreplicated bool // the replica has not acknowledged the result of the job
}

// WakeAt asks for a Wake at the time, or soon after it. A later WakeAt does not replace an earlier one.
type WakeAt struct{ At time.Time }

// Forward asks the program to send the request to the first target that accepts it and to return that target's answer
// to the caller. If no target answers, the answer is Unknown. The Ledger keeps no state of the request.
type Forward struct {
	Request uint64
	Key     lovagejob.Key
	Targets []string // instance IDs, in order; the owner of the range comes first
}

// CancelJob asks dispatch to cancel an admitted key; JobEnded follows.
type CancelJob struct{ Key lovagejob.Key }

// AcceptKey is a key that the owner wants to start, with the fingerprint of its submission.
type AcceptKey struct {
	Key         lovagejob.Key
	Fingerprint uint64
}

// SendAccept asks the replica of a range to record keys before they start; answered by AcceptReplied. At most one
// batch per range and replica is unacknowledged, apart from retransmissions after AcceptTimeout.
type SendAccept struct {
	Peer  string
	Range RangeID
	Batch uint64
	Epoch int64
	Keys  []AcceptKey
}

// ReplyAccept answers a PeerAccept.
type ReplyAccept struct {
	Call     uint64
	Accepted bool
	Epoch    int64
}

// RecordState is the state of a key's record.
type RecordState string

// States of a record.
const (
	StateAccepted RecordState = "accepted" // may have been started; the sender knows no outcome
	StateEnded    RecordState = "ended"
)

// Record is the state of one key in messages between instances.
type Record struct {
	Key         lovagejob.Key
	Fingerprint uint64
	State       RecordState
	Answer      lovagejob.Answer // set if State is StateEnded; without results if they are no longer kept
}

// SendResult sends ended records to the replica or to the new owner of a range; answered by ResultReplied.
type SendResult struct {
	Peer    string
	Range   RangeID
	Batch   uint64
	Records []Record
}

// TransferChunk is one chunk of a range's records. The row may name a new replica (Rule E) or a new owner (Rule F) only
// after that instance has all records.
type TransferChunk struct {
	TransferID    uint64 // increases with each transfer of the sender
	Index         int    // index of the chunk in the transfer
	Last          bool
	HandOver      bool // the receiver is to become the owner
	Range         RangeState
	DroppedBefore time.Time // the sender may have dropped records of keys minted before this time
	Records       []Record
}

// SendTransfer sends one chunk; answered by TransferReplied. The next chunk follows the reply.
type SendTransfer struct {
	Peer  string
	Chunk TransferChunk
}

// ReplyTransfer answers a PeerTransfer.
type ReplyTransfer struct {
	Call     uint64
	Accepted bool
}

// ReplyResult answers a PeerResult.
type ReplyResult struct {
	Call     uint64
	Accepted bool // this instance has stored the records
}

// ReadTable reads every row with the prefix; answered by TableRead. The read must not be served from a cache.
type ReadTable struct {
	ID     uint64
	Prefix string
}

// CommitTable commits a transaction; answered by TableCommitted. The program that commits it adds the check and the
// write of the row operation/<instance>.
type CommitTable struct {
	ID          uint64
	Transaction lovageplatform.Transaction
}

// Drained reports the end of a Drain. Left is the number of ranges for which no receiver was found.
type Drained struct{ Left int }

func (Minted) command()        {}
func (Admit) command()         {}
func (Reply) command()         {}
func (Forward) command()       {}
func (CancelJob) command()     {}
func (SendAccept) command()    {}
func (ReplyAccept) command()   {}
func (SendResult) command()    {}
func (SendTransfer) command()  {}
func (ReplyTransfer) command() {}
func (ReplyResult) command()   {}
func (WakeAt) command()        {}
func (ReadTable) command()     {}
func (CommitTable) command()   {}
func (Drained) command()       {}
