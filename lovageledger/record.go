package lovageledger

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"lovagestack/lovagejob"
)

// shortKey identifies a key within its range. It holds no pointers, so the garbage collector does not scan the records.
type shortKey struct {
	epoch        int64
	mintedMillis int64 // Unix milliseconds
	nonce        uint64
}

func (sk shortKey) compare(other shortKey) int {
	return cmp.Or(
		cmp.Compare(sk.mintedMillis, other.mintedMillis), cmp.Compare(sk.nonce, other.nonce), cmp.Compare(sk.epoch, other.epoch),
	)
}

// shorten returns the short form of a key, or false if no ledger can have minted the key: a minted nonce consists of 16
// hexadecimal digits.
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
	return shortKey{epoch: key.Epoch, mintedMillis: key.Minted.UnixMilli(), nonce: nonce}, true
}

const nonceDigits = 16

// fullKey is the inverse of shorten.
func (sk shortKey) fullKey(id RangeID) lovagejob.Key {
	var buf [2 * nonceDigits]byte
	digits := strconv.AppendUint(append(buf[:0], "0000000000000000"...), sk.nonce, 16)
	return lovagejob.Key{
		DataCentre: id.DataCentre,
		Range:      id.Index,
		Epoch:      sk.epoch,
		Minted:     time.UnixMilli(sk.mintedMillis).UTC(),
		Nonce:      string(digits[len(digits)-nonceDigits:]),
	}
}

// recordState is the progress of a key as this instance knows it.
type recordState uint8

const (
	stateWaiting recordState = iota // not started; waits for the replica's acknowledgement
	stateRemote                     // may have been started by another instance; its outcome is not known here
	stateRunning                    // admitted by this instance
	stateEnded
)

// record is what is stored about a key for the key's lifetime.
type record struct {
	fingerprint uint64
	tasks       uint16 // number of tasks of the job, if ended
	started     uint16 // number of tasks that were started, if ended
	state       recordState
	outcome     uint8 // index into finalOutcomes, if ended
}

// packedRecord is the encoding of a record in the store. Byte arrays need no alignment: a key and its record take 24
// bytes in a bucket, where structs take 32.
type packedRecord [14]byte

func (re record) pack() (pr packedRecord) {
	binary.LittleEndian.PutUint64(pr[0:], re.fingerprint)
	binary.LittleEndian.PutUint16(pr[8:], re.tasks)
	binary.LittleEndian.PutUint16(pr[10:], re.started)
	pr[12], pr[13] = uint8(re.state), re.outcome
	return pr
}

func (pr packedRecord) state() recordState { return recordState(pr[12]) }

func (pr packedRecord) unpack() record {
	return record{
		fingerprint: binary.LittleEndian.Uint64(pr[0:]),
		tasks:       binary.LittleEndian.Uint16(pr[8:]),
		started:     binary.LittleEndian.Uint16(pr[10:]),
		state:       pr.state(), outcome: pr[13],
	}
}

var finalOutcomes = [...]lovagejob.Outcome{
	lovagejob.Complete, lovagejob.Failed, lovagejob.NotRun, lovagejob.Cancelled,
}

// detail is the state of a key that is stored only while callers wait for it or its full answer is kept.
type detail struct {
	answer          lovagejob.Answer // full answer, if ended
	waitingRequests []uint64         // requests that wait for the key
	ackDeadline     time.Time        // if set, the result is not acknowledged; answers wait until this time
	cancelled       bool             // cancelled before it was admitted
}

// bucketMillis is the span of mint times in one bucket of records. Records expire by whole buckets, so they need no
// expiry queue, and a record outlives its key by at most this time. The offset of a mint time in its bucket fits 16
// bits. A transfer sorts a bucket in one step, which takes 125 ms for buckets of one minute at 2,000 keys a second.
const bucketMillis = 10_000

// bucketID identifies a bucket: the keys of one epoch that were minted within the same bucketMillis.
type bucketID struct {
	index int64 // minted / bucketMillis
	epoch int64
}

// bucketKey identifies a key within its bucket: the nonce and the offset of the mint time.
type bucketKey [10]byte

func (sk shortKey) split() (bucketID, bucketKey) {
	var bk bucketKey
	binary.LittleEndian.PutUint64(bk[0:], sk.nonce)
	binary.LittleEndian.PutUint16(bk[8:], uint16(sk.mintedMillis%bucketMillis))
	return bucketID{index: sk.mintedMillis / bucketMillis, epoch: sk.epoch}, bk
}

func (id bucketID) shortKeyOf(bk bucketKey) shortKey {
	return shortKey{
		epoch: id.epoch, nonce: binary.LittleEndian.Uint64(bk[0:]),
		mintedMillis: id.index*bucketMillis + int64(binary.LittleEndian.Uint16(bk[8:])),
	}
}

// endMillis returns the time before which all keys of the bucket were minted.
func (id bucketID) endMillis() int64 { return (id.index + 1) * bucketMillis }

type bucket struct {
	records    map[bucketKey]packedRecord
	endedCount int // number of records of ended keys
}

// retain removes the records for which keep returns false. It builds a new map, because a map does not release memory
// when entries are deleted.
func (bu *bucket) retain(keep func(bk bucketKey, pr packedRecord) bool) (dropped int) {
	keptBucket := &bucket{records: map[bucketKey]packedRecord{}}
	for bk, pr := range bu.records {
		if !keep(bk, pr) {
			continue
		}
		keptBucket.records[bk] = pr
		if pr.state() == stateEnded {
			keptBucket.endedCount++
		}
	}
	dropped = len(bu.records) - len(keptBucket.records)
	if dropped > 0 {
		*bu = *keptBucket
	}
	return dropped
}

type store struct {
	buckets             map[bucketID]*bucket
	details             map[shortKey]*detail
	maxDetails          int   // largest size of details observed since the map was created
	recordCount         int   // number of records
	newestMintMillis    int64 // latest mint time of any key that has had a record
	droppedBeforeMillis int64 // records of keys minted before this time may have been dropped, here or by a transfer's sender
}

func newStore() *store {
	return &store{
		buckets: map[bucketID]*bucket{}, details: map[shortKey]*detail{},
		newestMintMillis: math.MinInt64, droppedBeforeMillis: math.MinInt64,
	}
}

func (st *store) get(sk shortKey) (record, bool) {
	id, bk := sk.split()
	bu := st.buckets[id]
	if bu == nil {
		return record{}, false
	}
	pr, ok := bu.records[bk]
	return pr.unpack(), ok
}

func (st *store) put(sk shortKey, re record) {
	id, bk := sk.split()
	bu := st.buckets[id]
	if bu == nil {
		bu = &bucket{records: map[bucketKey]packedRecord{}}
		st.buckets[id] = bu
	}
	before, known := bu.records[bk]
	bu.records[bk] = re.pack()
	if known && before.state() == stateEnded {
		bu.endedCount--
	}
	if re.state == stateEnded {
		bu.endedCount++
	}
	if !known {
		st.recordCount++
	}
	st.newestMintMillis = max(st.newestMintMillis, sk.mintedMillis)
}

func (st *store) remove(sk shortKey) {
	id, bk := sk.split()
	if bu := st.buckets[id]; bu != nil {
		if pr, known := bu.records[bk]; known {
			delete(bu.records, bk)
			st.recordCount--
			if pr.state() == stateEnded {
				bu.endedCount--
			}
		}
	}
	st.dropDetail(sk)
}

// dropDetail deletes the detail of a key. It replaces a large map once the map is empty, because a map keeps the
// memory for the largest number of entries that it ever held.
func (st *store) dropDetail(sk shortKey) {
	delete(st.details, sk)
	st.maxDetails = max(st.maxDetails, len(st.details))
	if len(st.details) == 0 && st.maxDetails > 1000 {
		st.details, st.maxDetails = map[shortKey]*detail{}, 0
	}
}

// detail returns the detail of a key, creating it if needed.
func (st *store) detail(sk shortKey) *detail {
	de := st.details[sk]
	if de == nil {
		de = &detail{}
		st.details[sk] = de
	}
	return de
}

// dropExpired drops the records of every bucket whose keys were all minted before cutoff. It keeps those of running
// jobs, because the end of a job cannot be recorded without its record. Requests that wait for a dropped key are
// answered at their deadline.
func (st *store) dropExpired(cutoff int64) {
	st.droppedBeforeMillis = max(st.droppedBeforeMillis, cutoff)
	dropped := 0
	for id, bu := range st.buckets {
		if id.endMillis() > cutoff {
			continue
		}
		dropped += bu.retain(func(_ bucketKey, pr packedRecord) bool { return pr.state() == stateRunning })
		if len(bu.records) == 0 {
			delete(st.buckets, id)
		}
	}
	if dropped == 0 {
		return
	}
	st.recordCount -= dropped
	for sk := range st.details {
		if _, ok := st.get(sk); !ok {
			st.dropDetail(sk)
		}
	}
}

// evictEnded drops the ended records of a bucket, except those with an unacknowledged result or waiting requests, and
// raises droppedBeforeMillis past the bucket.
func (st *store) evictEnded(id bucketID) (dropped int) {
	bu := st.buckets[id]
	dropped = bu.retain(func(bk bucketKey, pr packedRecord) bool {
		de := st.details[id.shortKeyOf(bk)]
		return pr.state() != stateEnded || de != nil && (!de.ackDeadline.IsZero() || len(de.waitingRequests) > 0)
	})
	if dropped == 0 {
		return 0
	}
	st.recordCount -= dropped
	st.droppedBeforeMillis = max(st.droppedBeforeMillis, id.endMillis())
	if len(bu.records) == 0 {
		delete(st.buckets, id)
	}
	for sk := range st.details {
		if at, bk := sk.split(); at == id {
			if _, ok := bu.records[bk]; !ok {
				st.dropDetail(sk)
			}
		}
	}
	return dropped
}

// bucketIDs returns the IDs of the buckets in the order of their times.
func (st *store) bucketIDs() []bucketID {
	return slices.SortedFunc(maps.Keys(st.buckets), func(a, b bucketID) int {
		return cmp.Or(cmp.Compare(a.index, b.index), cmp.Compare(a.epoch, b.epoch))
	})
}

// sortedKeys returns the keys of a bucket in order, so that the same events give the same commands.
func (st *store) sortedKeys(id bucketID) []shortKey {
	bu := st.buckets[id]
	if bu == nil {
		return nil
	}
	out := make([]shortKey, 0, len(bu.records))
	for bk := range bu.records {
		out = append(out, id.shortKeyOf(bk))
	}
	slices.SortFunc(out, shortKey.compare)
	return out
}

// answer returns the answer of an ended record: the full answer while it is kept, afterwards the outcome only.
func (st *store) answer(id RangeID, sk shortKey, re record) lovagejob.Answer {
	if de := st.details[sk]; de != nil && de.answer.Outcome != "" {
		return de.answer
	}
	ans := lovagejob.Answer{
		Key: sk.fullKey(id), Outcome: finalOutcomes[re.outcome], Tasks: int(re.tasks), Started: int(re.started),
	}
	ans.Reason = "the job has ended; its reason and results are no longer kept"
	return ans
}

// recordOutcome records the outcome of a key. The answer must have a final outcome.
func (st *store) recordOutcome(sk shortKey, re record, ans lovagejob.Answer) {
	re.state = stateEnded
	re.outcome = uint8(slices.Index(finalOutcomes[:], ans.Outcome))
	re.tasks, re.started = clampUint16(ans.Tasks), clampUint16(ans.Started)
	st.put(sk, re)
}

func clampUint16(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// detailBytes is the memory that a kept answer takes besides its reason and results: the detail and its entries in the
// map and in the queue of retained answers.
const detailBytes = 380

// answerBytes estimates the memory that a kept answer takes.
func answerBytes(ans *lovagejob.Answer) int {
	n := detailBytes + len(ans.Reason)
	for i := range ans.Results {
		n += len(ans.Results[i].Body) + len(ans.Results[i].Worker) + 64
	}
	return n
}
