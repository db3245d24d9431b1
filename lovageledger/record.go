package lovageledger

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"lovagestack/lovagejob"
)

// shortKey is a key within its range. It holds no pointer, so the garbage collector does not scan the records.
type shortKey struct {
	epoch  int64
	minted int64 // Unix milliseconds
	nonce  uint64
}

func (sk shortKey) compare(other shortKey) int {
	return cmp.Or(
		cmp.Compare(sk.minted, other.minted), cmp.Compare(sk.nonce, other.nonce), cmp.Compare(sk.epoch, other.epoch),
	)
}

// shorten returns the short form of a key, or false if no ledger can have minted it: a minted nonce is 16 hexadecimal
// digits.
func shorten(key lovagejob.Key) (shortKey, bool) {
	if len(key.Nonce) != nonceDigits || key.Minted.IsZero() {
		return shortKey{}, false
	}
	var nonce uint64
	for i := range nonceDigits {
		c := key.Nonce[i]
		switch {
		case '0' <= c && c <= '9':
			nonce = nonce<<4 | uint64(c-'0')
		case 'a' <= c && c <= 'f':
			nonce = nonce<<4 | uint64(c-'a'+10)
		default:
			return shortKey{}, false
		}
	}
	return shortKey{epoch: key.Epoch, minted: key.Minted.UnixMilli(), nonce: nonce}, true
}

const nonceDigits = 16

// long returns the key in its full form.
func (sk shortKey) long(id RangeID) lovagejob.Key {
	var buf [2 * nonceDigits]byte
	digits := strconv.AppendUint(append(buf[:0], "0000000000000000"...), sk.nonce, 16)
	return lovagejob.Key{
		DataCentre: id.DataCentre,
		Range:      id.Index,
		Epoch:      sk.epoch,
		Minted:     time.UnixMilli(sk.minted).UTC(),
		Nonce:      string(digits[len(digits)-nonceDigits:]),
	}
}

// recordState is how far a key has come here.
type recordState uint8

const (
	stateWaiting recordState = iota // waits for the replica's acknowledgement; has not started
	stateForeign                    // another instance may have started it, its end is not known here
	stateRunning                    // admitted by this instance
	stateEnded
)

// record is what is remembered of a key for the key's lifetime. Its size of 16 bytes bounds the memory of an instance.
type record struct {
	fingerprint uint64
	tasks       uint16
	started     uint16
	state       recordState
	outcome     uint8 // index into finalOutcomes, if ended
}

var finalOutcomes = [...]lovagejob.Outcome{
	lovagejob.Complete, lovagejob.Failed, lovagejob.NotRun, lovagejob.Cancelled,
}

// detail is what is remembered of a key while callers wait for it or its full answer is kept.
type detail struct {
	answer    lovagejob.Answer // full answer, if ended
	waiters   []uint64
	copyUntil time.Time // if set: the end has no acknowledged copy yet, and answers wait until this time, see copyWaits
	cancelled bool      // cancelled before it was admitted
}

// bucketMillis is the width of a bucket of records by mint time. Whole buckets are dropped, so records need no queue
// of their own; the width is the most by which a record outlives its key. An offset into it fits 16 bits. A transfer
// sorts a bucket in one step, which took 125 ms for a minute at 2,000 keys a second.
const bucketMillis = 10_000

// bucketID names a bucket: the keys of one epoch that were minted within bucketMillis.
type bucketID struct {
	index int64 // minted / bucketMillis
	epoch int64
}

// slotKey is a key within its bucket.
type slotKey struct {
	nonce  uint64
	offset uint16
}

func (sk shortKey) split() (bucketID, slotKey) {
	return bucketID{index: sk.minted / bucketMillis, epoch: sk.epoch},
		slotKey{nonce: sk.nonce, offset: uint16(sk.minted % bucketMillis)}
}

func (id bucketID) key(slot slotKey) shortKey {
	return shortKey{epoch: id.epoch, minted: id.index*bucketMillis + int64(slot.offset), nonce: slot.nonce}
}

// store holds the records of one range.
type store struct {
	buckets map[bucketID]map[slotKey]record
	details map[shortKey]*detail
	count   int
	newest  int64 // highest mint time of a key that has had a record
	floor   int64 // records of keys minted before this time may have been dropped, here or at a sender
}

func newStore() *store {
	return &store{
		buckets: map[bucketID]map[slotKey]record{}, details: map[shortKey]*detail{},
		newest: math.MinInt64, floor: math.MinInt64,
	}
}

func (st *store) get(sk shortKey) (record, bool) {
	id, slot := sk.split()
	re, ok := st.buckets[id][slot]
	return re, ok
}

func (st *store) put(sk shortKey, re record) {
	id, slot := sk.split()
	bucket := st.buckets[id]
	if bucket == nil {
		bucket = map[slotKey]record{}
		st.buckets[id] = bucket
	}
	before := len(bucket)
	bucket[slot] = re
	st.newest = max(st.newest, sk.minted)
	st.count += len(bucket) - before
}

func (st *store) remove(sk shortKey) {
	id, slot := sk.split()
	bucket := st.buckets[id]
	before := len(bucket)
	delete(bucket, slot)
	st.count += len(bucket) - before
	delete(st.details, sk)
}

// detail returns the detail of a key, creating it.
func (st *store) detail(sk shortKey) *detail {
	de := st.details[sk]
	if de == nil {
		de = &detail{}
		st.details[sk] = de
	}
	return de
}

// expire drops every bucket whose keys were all minted before the floor, except for jobs that still run: their ends
// could not be told without their records. Waiters of dropped keys are answered when their time comes.
func (st *store) expire(floor int64) {
	st.floor = max(st.floor, floor)
	dropped := false
	for id, bucket := range st.buckets {
		if (id.index+1)*bucketMillis > floor {
			continue
		}
		running := map[slotKey]record{}
		for slot, re := range bucket {
			if re.state == stateRunning {
				running[slot] = re
			}
		}
		if len(running) == len(bucket) {
			continue
		}
		st.count -= len(bucket) - len(running)
		dropped = true
		st.buckets[id] = running
		if len(running) == 0 {
			delete(st.buckets, id)
		}
	}
	if !dropped {
		return
	}
	for sk := range st.details {
		if _, ok := st.get(sk); !ok {
			delete(st.details, sk)
		}
	}
}

// bucketIDs returns the buckets in order of their times.
func (st *store) bucketIDs() []bucketID {
	return slices.SortedFunc(maps.Keys(st.buckets), func(a, b bucketID) int {
		return cmp.Or(cmp.Compare(a.index, b.index), cmp.Compare(a.epoch, b.epoch))
	})
}

// bucketKeys returns the keys of a bucket in order, so that equal runs give equal commands.
func (st *store) bucketKeys(id bucketID) []shortKey {
	bucket := st.buckets[id]
	out := make([]shortKey, 0, len(bucket))
	for slot := range bucket {
		out = append(out, id.key(slot))
	}
	slices.SortFunc(out, shortKey.compare)
	return out
}

// answer returns the answer of an ended record: the full one while it is kept, the outcome afterwards.
func (st *store) answer(id RangeID, sk shortKey, re record) lovagejob.Answer {
	if de := st.details[sk]; de != nil && de.answer.Outcome != "" {
		return de.answer
	}
	ans := lovagejob.Answer{
		Key: sk.long(id), Outcome: finalOutcomes[re.outcome], Tasks: int(re.tasks), Started: int(re.started),
	}
	ans.Reason = "the job has ended; its reason and results are no longer kept"
	return ans
}

// end records the end of a key. The answer must have a final outcome.
func (st *store) end(sk shortKey, re record, ans lovagejob.Answer) {
	re.state = stateEnded
	re.outcome = uint8(slices.Index(finalOutcomes[:], ans.Outcome))
	re.tasks, re.started = saturate(ans.Tasks), saturate(ans.Started)
	st.put(sk, re)
}

func saturate(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// detailBytes is the memory that a kept answer takes besides its results: the detail, its place in the map and in the
// queue of kept answers.
const detailBytes = 350

// answerBytes is the memory that a kept answer takes, roughly.
func answerBytes(ans *lovagejob.Answer) int {
	n := detailBytes + len(ans.Reason)
	for i := range ans.Results {
		n += len(ans.Results[i].Body) + len(ans.Results[i].Worker) + 64
	}
	return n
}
