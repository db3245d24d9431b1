package lovagetrial

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"lovagestack/lovagehistory"
	"lovagestack/lovagejob"
	"lovagestack/lovageledger"
	"lovagestack/lovageplatform"
)

// scanInterval is the pause between two reads of the range rows. At 2 ms, a quarter of the ranges of a run had two changes
// between two reads.
const scanInterval = 300 * time.Microsecond

// unseenOwner stands for the owner of an epoch that was over before a read saw it.
const unseenOwner = "unseen"

// rangeWatcher derives from reads of the table who acquired which epoch of a range. It is a client of the table, so that
// it sees rows as instances see them.
type rangeWatcher struct {
	readRows func(ctx context.Context) ([]lovageplatform.Row, error)

	mu           sync.Mutex
	started      time.Time
	lastScan     int64 // call of the last read that succeeded
	latestRows   map[string]rowState
	owners       map[string]string // by range and epoch
	acquisitions []lovagehistory.Entry
	unseenEpochs int // epochs of unseenHolder
}

type rowState struct {
	version, epoch int64
}

func newRangeWatcher(rows func(ctx context.Context) ([]lovageplatform.Row, error)) *rangeWatcher {
	return &rangeWatcher{
		readRows: rows, started: time.Now(), latestRows: map[string]rowState{}, owners: map[string]string{},
	}
}

// now returns the wall clock at the start plus the monotonic time since, as lovagehistory.Recorder does.
func (rw *rangeWatcher) now() int64 {
	return rw.started.UnixNano() + time.Since(rw.started).Nanoseconds()
}

func (rw *rangeWatcher) run(ctx context.Context) {
	for pauseFor(ctx, scanInterval) == nil {
		_ = rw.scan(ctx) // the platform may be down; the next read that succeeds sees what changed
	}
}

func (rw *rangeWatcher) scan(ctx context.Context) error {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	call := rw.now()
	rows, err := rw.readRows(ctx)
	if err != nil {
		return err
	}
	ret := rw.now()
	firstScan := rw.lastScan == 0
	for _, row := range rows {
		if before, ok := rw.latestRows[row.Key]; ok && before.version == row.Version {
			continue
		}
		var ro lovageledger.RangeRow
		if err := json.Unmarshal(row.Value, &ro); err != nil {
			return fmt.Errorf("row %s: %w", row.Key, err)
		}
		rw.recordRow(row, ro, firstScan, ret)
	}
	rw.lastScan = call
	return nil
}

// recordRow records what changed in a row since the last read. Each write of a row raises its version by one, and must raise
// its epoch by one too; if it does not, the model rejects the acquisition. What happened before the first read is taken
// from it.
func (rw *rangeWatcher) recordRow(row lovageplatform.Row, ro lovageledger.RangeRow, firstScan bool, ret int64) {
	before := rw.latestRows[row.Key]
	rw.latestRows[row.Key] = rowState{row.Version, ro.Epoch}
	call := rw.lastScan
	if firstScan {
		call, before.version = rw.started.UnixNano(), row.Version-ro.Epoch
	}
	for ; before.version < row.Version-1; before.version++ {
		rw.recordAcquisition(row.Key, before.epoch, unseenOwner, call, ret)
		before.epoch++
		if !firstScan {
			rw.unseenEpochs++
		}
	}
	rw.recordAcquisition(row.Key, ro.Epoch-1, ro.Owner, call, ret)
}

func (rw *rangeWatcher) recordAcquisition(name string, expected int64, owner string, call, ret int64) {
	rw.owners[fmt.Sprint(name, " ", expected+1)] = owner
	rw.acquisitions = append(rw.acquisitions, lovagehistory.Entry{
		ID: fmt.Sprintf("range-%d", len(rw.acquisitions)), Call: call, Return: ret,
		Operation: lovagehistory.Operation{
			Kind: lovagehistory.Acquire, Range: name, Epoch: expected, Instance: owner,
		},
		Result: lovagehistory.Result{WriteOutcome: lovagehistory.Committed},
	})
}

// rangeAndEpoch returns the range of a key and its epoch.
func rangeAndEpoch(keyText string) (name string, epoch int64, ok bool) {
	key, err := lovagejob.ParseKey(keyText)
	if err != nil {
		return "", 0, false
	}
	return fmt.Sprintf("range/%s/%d", key.DataCentre, key.Range), key.Epoch, true
}

// withMints returns the acquisitions, and the mints as acts of the epoch's holder. An instance that has no range of its own
// mints at a peer, so the holder and not the instance that was asked acts; an epoch that nobody was seen to hold has no
// holder, which the model rejects.
func (rw *rangeWatcher) withMints(mints []lovagehistory.Entry) []lovagehistory.Entry {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	out := slices.Clone(rw.acquisitions)
	for _, en := range mints {
		en.Operation.Instance = rw.owners[fmt.Sprint(en.Operation.Range, " ", en.Operation.Epoch)]
		out = append(out, en)
	}
	return out
}

// RangeCounts returns the number of key ranges that were seen, and of epochs whose holder was not seen.
func (hi *History) RangeCounts() (ranges, unseen int) {
	hi.rangeWatcher.mu.Lock()
	defer hi.rangeWatcher.mu.Unlock()
	return len(hi.rangeWatcher.latestRows), hi.rangeWatcher.unseenEpochs
}
