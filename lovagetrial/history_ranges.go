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

// scanEvery is the pause between two reads of the range rows. At 2 ms, a quarter of the ranges of a run had two changes
// between two reads.
const scanEvery = 300 * time.Microsecond

// unseenHolder stands for the owner of an epoch that was over before a read saw it.
const unseenHolder = "unseen"

// rangeWatch derives from reads of the table who acquired which epoch of a range. It is a client of the table, so that
// it sees rows as instances see them.
type rangeWatch struct {
	rows func(ctx context.Context) ([]lovageplatform.Row, error)

	mu      sync.Mutex
	base    time.Time
	last    int64 // call of the last read that succeeded
	seen    map[string]rangeSeen
	holders map[string]string // by range and epoch
	entries []lovagehistory.Entry
	unseen  int // epochs of unseenHolder
}

type rangeSeen struct {
	version, epoch int64
}

func newRangeWatch(rows func(ctx context.Context) ([]lovageplatform.Row, error)) *rangeWatch {
	return &rangeWatch{
		rows: rows, base: time.Now(), seen: map[string]rangeSeen{}, holders: map[string]string{},
	}
}

// now returns the wall clock at the start plus the monotonic time since, as lovagehistory.Recorder does.
func (rw *rangeWatch) now() int64 { return rw.base.UnixNano() + time.Since(rw.base).Nanoseconds() }

func (rw *rangeWatch) run(ctx context.Context) {
	for pauseFor(ctx, scanEvery) == nil {
		_ = rw.scan(ctx) // the platform may be down; the next read that succeeds sees what changed
	}
}

func (rw *rangeWatch) scan(ctx context.Context) error {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	call := rw.now()
	rows, err := rw.rows(ctx)
	if err != nil {
		return err
	}
	ret := rw.now()
	first := rw.last == 0
	for _, row := range rows {
		if before, ok := rw.seen[row.Key]; ok && before.version == row.Version {
			continue
		}
		var ro lovageledger.RangeRow
		if err := json.Unmarshal(row.Value, &ro); err != nil {
			return fmt.Errorf("row %s: %w", row.Key, err)
		}
		rw.saw(row, ro, first, ret)
	}
	rw.last = call
	return nil
}

// saw records what changed in a row since the last read. Each write of a row raises its version by one, and must raise
// its epoch by one too; if it does not, the model rejects the acquisition. What happened before the first read is taken
// from it.
func (rw *rangeWatch) saw(row lovageplatform.Row, ro lovageledger.RangeRow, first bool, ret int64) {
	before := rw.seen[row.Key]
	rw.seen[row.Key] = rangeSeen{row.Version, ro.Epoch}
	call := rw.last
	if first {
		call, before.version = rw.base.UnixNano(), row.Version-ro.Epoch
	}
	for ; before.version < row.Version-1; before.version++ {
		rw.acquired(row.Key, before.epoch, unseenHolder, call, ret)
		before.epoch++
		if !first {
			rw.unseen++
		}
	}
	rw.acquired(row.Key, ro.Epoch-1, ro.Owner, call, ret)
}

func (rw *rangeWatch) acquired(name string, expected int64, owner string, call, ret int64) {
	rw.holders[fmt.Sprint(name, " ", expected+1)] = owner
	rw.entries = append(rw.entries, lovagehistory.Entry{
		ID: fmt.Sprintf("range-%d", len(rw.entries)), Call: call, Return: ret,
		Operation: lovagehistory.Operation{
			Kind: lovagehistory.Acquire, Range: name, Epoch: expected, Instance: owner,
		},
		Result: lovagehistory.Result{WriteOutcome: lovagehistory.Committed},
	})
}

// rangeOf returns the range of a key and its epoch.
func rangeOf(text string) (name string, epoch int64, ok bool) {
	key, err := lovagejob.ParseKey(text)
	if err != nil {
		return "", 0, false
	}
	return fmt.Sprintf("range/%s/%d", key.DataCentre, key.Range), key.Epoch, true
}

// judged returns the acquisitions, and the mints as acts of the epoch's holder. An instance that has no range of its own
// mints at a peer, so the holder and not the instance that was asked acts; an epoch that nobody was seen to hold has no
// holder, which the model rejects.
func (rw *rangeWatch) judged(acts []lovagehistory.Entry) []lovagehistory.Entry {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	out := slices.Clone(rw.entries)
	for _, en := range acts {
		en.Operation.Instance = rw.holders[fmt.Sprint(en.Operation.Range, " ", en.Operation.Epoch)]
		out = append(out, en)
	}
	return out
}

// Ranges returns the number of key ranges that were seen, and of epochs whose holder was not seen.
func (hi *History) Ranges() (ranges, unseen int) {
	hi.ranges.mu.Lock()
	defer hi.ranges.mu.Unlock()
	return len(hi.ranges.seen), hi.ranges.unseen
}
