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

// scanInterval is the pause between two reads of the range rows. At 2 ms, a quarter of the ranges of a run changed twice
// between two reads.
const scanInterval = 300 * time.Microsecond

// unseenOwner is recorded as the owner of an epoch that began and ended between two reads.
const unseenOwner = "unseen"

// rangeWatcher reads the table to find out which instance acquired which epoch of a range. It is a client of the table,
// so that it sees rows as instances see them.
type rangeWatcher struct {
	readRows func(ctx context.Context) ([]lovageplatform.Row, error)

	mu            sync.Mutex
	startTime     time.Time
	lastScanStart int64 // start of the last successful read in Unix ns; 0 if there was none
	latestRows    map[string]rowState
	owners        map[string]string // owner by range name and epoch
	acquisitions  []lovagehistory.Entry
	unseenEpochs  int // number of epochs with unseenOwner, except those before the first read
}

type rowState struct {
	version, epoch int64
}

func newRangeWatcher(rows func(ctx context.Context) ([]lovageplatform.Row, error)) *rangeWatcher {
	return &rangeWatcher{
		readRows: rows, startTime: time.Now(), latestRows: map[string]rowState{}, owners: map[string]string{},
	}
}

// now returns Unix nanoseconds: the wall clock at the start plus the monotonic time since, as in lovagehistory.Recorder.
func (rw *rangeWatcher) now() int64 {
	return rw.startTime.UnixNano() + time.Since(rw.startTime).Nanoseconds()
}

func (rw *rangeWatcher) run(ctx context.Context) {
	for pauseFor(ctx, scanInterval) == nil {
		_ = rw.scanRanges(ctx) // the platform may be down; the next successful read shows what has changed
	}
}

func (rw *rangeWatcher) scanRanges(ctx context.Context) error {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	callTime := rw.now()
	rows, err := rw.readRows(ctx)
	if err != nil {
		return err
	}
	returnTime := rw.now()
	firstScan := rw.lastScanStart == 0
	for _, row := range rows {
		if before, ok := rw.latestRows[row.Key]; ok && before.version == row.Version {
			continue
		}
		var ro lovageledger.RangeRow
		if err := json.Unmarshal(row.Value, &ro); err != nil {
			return fmt.Errorf("row %s: %w", row.Key, err)
		}
		rw.recordRow(row, ro, firstScan, returnTime)
	}
	rw.lastScanStart = callTime
	return nil
}

// recordRow records the acquisitions that a changed row shows. Each write of a row raises the row's version by one, and
// must raise its epoch by one, too; otherwise the model rejects the acquisition. At the first read it records all epochs
// so far.
func (rw *rangeWatcher) recordRow(row lovageplatform.Row, ro lovageledger.RangeRow, firstScan bool, returnTime int64) {
	before := rw.latestRows[row.Key]
	rw.latestRows[row.Key] = rowState{row.Version, ro.Epoch}
	callTime := rw.lastScanStart
	if firstScan {
		callTime, before.version = rw.startTime.UnixNano(), row.Version-ro.Epoch
	}
	for ; before.version < row.Version-1; before.version++ {
		rw.recordAcquisition(row.Key, before.epoch, unseenOwner, callTime, returnTime)
		before.epoch++
		if !firstScan {
			rw.unseenEpochs++
		}
	}
	rw.recordAcquisition(row.Key, ro.Epoch-1, ro.Owner, callTime, returnTime)
}

func (rw *rangeWatcher) recordAcquisition(name string, expectedEpoch int64, owner string, callTime, returnTime int64) {
	rw.owners[fmt.Sprint(name, " ", expectedEpoch+1)] = owner
	rw.acquisitions = append(rw.acquisitions, lovagehistory.Entry{
		ID: fmt.Sprintf("range-%d", len(rw.acquisitions)), Call: callTime, Return: returnTime,
		Operation: lovagehistory.Operation{
			Kind: lovagehistory.Acquire, Range: name, Epoch: expectedEpoch, Instance: owner,
		},
		Result: lovagehistory.Result{WriteOutcome: lovagehistory.Committed},
	})
}

// rangeAndEpoch returns the name of a key's range and the epoch in which the key was minted.
func rangeAndEpoch(keyText string) (name string, epoch int64, ok bool) {
	key, err := lovagejob.ParseKey(keyText)
	if err != nil {
		return "", 0, false
	}
	return fmt.Sprintf("range/%s/%d", key.DataCentre, key.Range), key.Epoch, true
}

// acquisitionsAndMints returns the acquisitions and the mints. It names the owner of the key's epoch as the minter, not
// the instance asked: that may have had a peer mint. The model rejects a mint in an epoch without an owner.
func (rw *rangeWatcher) acquisitionsAndMints(mints []lovagehistory.Entry) []lovagehistory.Entry {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	out := slices.Clone(rw.acquisitions)
	for _, en := range mints {
		en.Operation.Instance = rw.owners[fmt.Sprint(en.Operation.Range, " ", en.Operation.Epoch)]
		out = append(out, en)
	}
	return out
}

// RangeCounts returns the numbers of key ranges seen and of epochs whose owner was not seen.
func (hi *History) RangeCounts() (ranges, unseen int) {
	hi.rangeWatcher.mu.Lock()
	defer hi.rangeWatcher.mu.Unlock()
	return len(hi.rangeWatcher.latestRows), hi.rangeWatcher.unseenEpochs
}
