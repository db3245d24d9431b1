package lovageledger

import (
	"math"
	"slices"
	"time"

	"lovagestack/lovagejob"
)

// Ledger is the state machine of one instance. It is not safe for concurrent use.
type Ledger struct {
	settings Settings
	now      time.Time // time of the current step
	out      []Command // commands of the current step

	latestMillis int64 // latest Unix time of any step; ages of keys are measured against it

	ranges      map[RangeID]*keyRange
	rangeIDs    []RangeID   // IDs of all ranges, sorted
	ownedRanges []*keyRange // ranges with owner set, sorted by ID

	members map[string]Member
	peers   []Member // the same members, sorted by ID; this instance is in neither members nor peers

	requests        requests
	retainedAnswers retainedAnswers
	ackWaits        ackWaitQueue

	evictedRecords int64 // total since the start

	wakeAt time.Time // time of the last WakeAt; zero once a Wake has followed
	table  tableState
	lease  leaseState

	lastID         uint64    // last ID given to a batch, read, transaction or transfer
	nextClaimAt    time.Time // no claim before this time
	draining       bool
	drainGiveUpAt  time.Time // see Drain.GiveUpAt
	drainedEmitted bool
}

// keyRange is what the instance knows about one range.
type keyRange struct {
	id         RangeID
	row        RangeRow
	rowVersion int64 // version of the row; 0 if no row is known
	store      *store

	owner         *ownerState       // set while this instance owns the range, as far as it knows
	replica       *replicaState     // set while this instance is the range's replica or is being added as one
	incoming      *incomingTransfer // set while the owner hands the range over to this instance
	pendingUpdate *rowUpdate        // transaction on the row whose outcome is not known yet

	resultQueue    resultQueue
	blockedSubmits []blockedSubmit // submissions that wait until pendingUpdate is resolved
	lastMintMillis int64           // mint time of the last key minted here
	formerOwners   []string        // former owners, which may still send the results of their jobs
	failedPeer     string          // peer that last failed to receive a transfer
	recordsLost    bool            // this owner lacks records: claim the range anew, without earlier epochs (Rule C)
	retryAt        time.Time       // no new transaction on the row before this time

	claimWithReplica bool  // this instance claims the range in order to have it replicated
	ownedSinceMillis int64 // start of the ownership
}

type ownerState struct {
	epoch         int64
	completeSince int64
	replica       string       // replica that the row names; may be empty
	acceptQueue   *acceptQueue // nil if keys may start without an acknowledgement
	wantsReplica  bool         // the range is to have a replica
	transfer      *outgoingTransfer
	closing       bool // the hand-over is about to begin: no further submission is accepted
	closingSince  time.Time
	stopped       bool // the hand-over has begun: no key is accepted or started
}

// New returns a Ledger without ranges. It panics if Settings.Rand is nil.
func New(se Settings) *Ledger {
	if se.Rand == nil {
		panic("lovageledger: Settings.Rand is nil")
	}
	return &Ledger{
		settings:     se.withDefaults(),
		latestMillis: math.MinInt64,
		ranges:       map[RangeID]*keyRange{},
		members:      map[string]Member{},
		requests:     newRequests(),
		lease:        newLeaseState(),
	}
}

// Step applies one event and appends the resulting commands to out. The time must come from time.Now. Its wall clock,
// which may jump forwards or backwards, measures the age of keys; its monotonic reading measures timeouts.
func (le *Ledger) Step(now time.Time, ev Event, out []Command) []Command {
	le.now, le.out = now, out
	le.latestMillis = max(le.latestMillis, now.UnixMilli())
	switch ev := ev.(type) {
	case *Mint:
		le.mint(ev)
	case *Submit:
		le.submit(ev)
	case *Query:
		le.query(ev)
	case *Cancel:
		le.cancel(ev)
	case *RequestAbandoned:
		le.requests.drop(ev.Request)
	case *JobEnded:
		le.jobEnded(ev)
	case *AcceptReplied:
		le.acceptReplied(ev)
	case *ResultReplied:
		le.resultReplied(ev)
	case *TransferReplied:
		le.transferReplied(ev)
	case *PeerAccept:
		le.peerAccept(ev)
	case *PeerResult:
		le.peerResult(ev)
	case *PeerTransfer:
		le.peerTransfer(ev)
	case *TableRead:
		le.tableRead(ev)
	case *TableCommitted:
		le.tableCommitted(ev)
	case *MembersChanged:
		le.membersChanged(ev)
	case *RangesReceived:
		for _, rs := range ev.Ranges {
			le.observeRangeRow(rs.Range, rs.Row, rs.Version)
		}
	case *Tick:
		le.tick()
	case *Wake:
		le.wakeAt = time.Time{}
		le.expireWaits()
	case *TunablesChanged:
		if ev.KeyLifetime > 0 {
			le.settings.KeyLifetime = ev.KeyLifetime
		}
		if ev.AnswerRetention > 0 {
			le.settings.AnswerRetention = ev.AnswerRetention
		}
	case *Drain:
		le.draining, le.drainGiveUpAt = true, ev.GiveUpAt
		le.maintain()
	}
	out, le.out = le.out, nil
	return out
}

func (le *Ledger) emit(co Command) { le.out = append(le.out, co) }

func (le *Ledger) newID() uint64 {
	le.lastID++
	return le.lastID
}

// rangeFor returns the range, creating it if needed.
func (le *Ledger) rangeFor(id RangeID) *keyRange {
	if rg := le.ranges[id]; rg != nil {
		return rg
	}
	rg := &keyRange{id: id, store: newStore()}
	le.ranges[id] = rg
	at, _ := slices.BinarySearchFunc(le.rangeIDs, id, RangeID.compare)
	le.rangeIDs = slices.Insert(le.rangeIDs, at, id)
	return rg
}

// setOwner sets the owner state of a range, or ends the ownership if own is nil.
func (le *Ledger) setOwner(rg *keyRange, own *ownerState) {
	at, found := slices.BinarySearchFunc(le.ownedRanges, rg, func(a, b *keyRange) int { return a.id.compare(b.id) })
	switch {
	case own != nil && !found:
		le.ownedRanges = slices.Insert(le.ownedRanges, at, rg)
	case own == nil && found:
		le.ownedRanges = slices.Delete(le.ownedRanges, at, at+1)
	}
	rg.owner = own
}

// Ranges returns the ranges that the instance believes it owns, for the next heartbeat.
func (le *Ledger) Ranges() []RangeState {
	out := make([]RangeState, 0, len(le.ownedRanges))
	for _, rg := range le.ownedRanges {
		out = append(out, RangeState{Range: rg.id, Row: rg.row, Version: rg.rowVersion})
	}
	return out
}

// CanMint reports whether a Mint would return keys now.
func (le *Ledger) CanMint() bool {
	return !le.atCapacity() && le.selectMintRange(true) != nil
}

// RecordCount returns the number of key records held.
func (le *Ledger) RecordCount() int {
	n := 0
	for _, rg := range le.ranges {
		n += rg.store.recordCount
	}
	return n
}

func (le *Ledger) membersChanged(ev *MembersChanged) {
	clear(le.members)
	le.peers = le.peers[:0]
	for _, me := range ev.Members {
		if me.ID != le.settings.Instance {
			le.members[me.ID] = me
			le.peers = append(le.peers, me)
		}
	}
	slices.SortFunc(le.peers, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	le.maintain()
}

// isLive reports whether the ID is that of this instance or of a member in the state live.
func (le *Ledger) isLive(id string) bool {
	return id == le.settings.Instance || le.members[id].State == MemberLive
}

// expiredBeforeMillis returns the mint time before which keys have exceeded their lifetime.
func (le *Ledger) expiredBeforeMillis() int64 {
	return le.latestMillis - le.settings.KeyLifetime.Milliseconds()
}

func (le *Ledger) tick() {
	le.expireWaits()
	le.retainedAnswers.dropExpired(le)
	cutoff := le.expiredBeforeMillis()
	for _, id := range le.rangeIDs {
		rg := le.ranges[id]
		rg.store.dropExpired(cutoff)
		le.tickAccepts(rg)
		le.tickTransfer(rg)
		le.tickReplica(rg)
		le.flushResults(rg)
	}
	le.evict(0)
	le.maintain()
}

// blockedSubmit is a submission that waits until the range's owner and epoch are known for certain.
type blockedSubmit struct {
	request     uint64
	key         lovagejob.Key
	fingerprint uint64
	hops        int
}
