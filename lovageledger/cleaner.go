package lovageledger

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagestack/lovageplatform"
)

// Prefixes of the rows that a Cleaner reads. OperationPrefix is that of the rows of lovageplatform.Writer.
const (
	RangePrefix     = rangePrefix
	InstancePrefix  = instancePrefix
	OperationPrefix = "operation/"
)

// SyncSuffix ends the name of an instance's second writer, which commits changes of the configuration.
const SyncSuffix = "-sync"

// CleanerSettings configures a Cleaner. Zero durations and numbers mean their defaults.
type CleanerSettings struct {
	Instance          string
	DataCentre        string
	LeaseTTL          time.Duration // default 6 s
	GracePeriod       time.Duration // how long a lease must have been expired; default 10 min
	MaxObservationGap time.Duration // a longer time between two looks starts every observation anew; default 3 min
	MaxRows           int           // most rows in one transaction; default 50
}

// Cleaner decides which rows of ended instances are deleted from the table, and frees the ranges that name them. A process gets a new ID at each start, so
// they would accumulate. It does no I/O and reads no clock; Plan is due about once a minute.
//
// Rows are deleted only at the versions that were observed, so a row that was renewed in between stays, and of several
// cleaners one succeeds. A process that is only paused finds its row operation/<id> gone and ends.
type Cleaner struct {
	se     CleanerSettings
	seen   map[string]*observedLease // by key of the row
	lookAt time.Time
}

// NewCleaner returns a cleaner that has observed nothing.
func NewCleaner(se CleanerSettings) *Cleaner {
	setDefault(&se.LeaseTTL, 6*time.Second)
	setDefault(&se.GracePeriod, 10*time.Minute)
	setDefault(&se.MaxObservationGap, 3*time.Minute)
	setDefault(&se.MaxRows, 50)
	return &Cleaner{se: se, seen: map[string]*observedLease{}}
}

// CleanerInput is what a Cleaner decides on. Rows come from reads that were issued at ReadAt or later and bypassed caches.
type CleanerInput struct {
	ReadAt          time.Time
	Instances       []lovageplatform.Row // with InstancePrefix
	Operations      []lovageplatform.Row // with OperationPrefix
	Ranges          []lovageplatform.Row // with RangePrefix
	Listed          map[string]bool      // instance IDs in the platform's list
	ListedAddresses map[string]bool      // addresses in the list under which no known live process runs
	Members         []Member             // as heartbeats show them
}

// Elected reports whether this instance cleans up for its data centre: the live one with the lowest hash of its ID.
func (cl *Cleaner) Elected(members []Member) bool {
	own := xxhash.Sum64String(cl.se.Instance)
	for _, me := range members {
		if me.DataCentre == cl.se.DataCentre && me.State == MemberLive && !me.Leaving && xxhash.Sum64String(me.ID) < own {
			return false
		}
	}
	return true
}

// Plan observes the rows and returns a transaction that deletes those of ended instances and frees ranges whose
// owner and replica have ended; without writes, nothing is to be done.
func (cl *Cleaner) Plan(vi *CleanerInput) lovageplatform.Transaction {
	cl.observe(vi)
	ls := cl.newLook(vi)
	for _, row := range vi.Ranges {
		ls.freeRange(row)
	}
	for _, row := range vi.Instances {
		id := strings.TrimPrefix(row.Key, InstancePrefix)
		if ls.leases[id].dataCentre == cl.se.DataCentre && !ls.named[id] && ls.ended(id) {
			ls.remove(append([]lovageplatform.Row{row}, ls.operations[id]...))
		}
	}
	for _, row := range vi.Operations {
		id := operationOf(row.Key)
		if _, leased := ls.leases[id]; !leased && !ls.named[id] && ls.ended(id) && cl.unchanged(row.Key) >= cl.se.GracePeriod {
			ls.remove([]lovageplatform.Row{row})
		}
	}
	return ls.tx
}

// look is the state of one Plan.
type look struct {
	*Cleaner
	vi         *CleanerInput
	tx         lovageplatform.Transaction
	leases     map[string]seenLease
	operations map[string][]lovageplatform.Row // by instance
	named      map[string]bool                 // the owner or the replica of a range
	kept       map[string]bool                 // this instance, and those that are heard of
}

type seenLease struct {
	row                 lovageplatform.Row
	dataCentre, address string
}

// operationOf returns the instance that a row of a writer belongs to.
func operationOf(key string) string {
	return strings.TrimSuffix(strings.TrimPrefix(key, OperationPrefix), SyncSuffix)
}

func (cl *Cleaner) newLook(vi *CleanerInput) *look {
	ls := &look{
		Cleaner: cl, vi: vi, leases: make(map[string]seenLease, len(vi.Instances)),
		operations: map[string][]lovageplatform.Row{}, named: map[string]bool{}, kept: map[string]bool{cl.se.Instance: true},
	}
	for _, row := range vi.Instances {
		var lease leaseRow
		_ = json.Unmarshal(row.Value, &lease) // a row that cannot be read has no data centre and is left alone
		ls.leases[strings.TrimPrefix(row.Key, InstancePrefix)] = seenLease{row, lease.DataCentre, lease.Address}
	}
	for _, row := range vi.Operations {
		id := operationOf(row.Key)
		ls.operations[id] = append(ls.operations[id], row)
	}
	for _, tr := range vi.Ranges {
		if row, err := decodeRow(tr.Value); err == nil {
			ls.named[row.Owner], ls.named[row.Replica] = true, true
		}
	}
	for _, me := range vi.Members {
		ls.kept[me.ID] = ls.kept[me.ID] || me.State != MemberGone
	}
	return ls
}

// ended reports whether nothing has been seen of the instance since its lease expired, and for long. An instance without
// a lease row has ended if nothing else shows it.
func (ls *look) ended(id string) bool {
	lease, leased := ls.leases[id]
	return !ls.kept[id] && !ls.vi.Listed[id] && (!leased || !ls.vi.ListedAddresses[lease.address] &&
		lease.dataCentre != "" && ls.unchanged(lease.row.Key) >= ls.se.LeaseTTL+ls.se.GracePeriod)
}

// freeRange frees a range of this data centre whose owner and replica have ended (Rule C without a new owner). Otherwise
// the range would name them until an instance happens to need it, and new instances would create rows instead of
// claiming it: they cannot know at their start that the lease has expired.
func (ls *look) freeRange(tr lovageplatform.Row) {
	id, err := ParseRangeID(tr.Key)
	if err != nil || id.DataCentre != ls.se.DataCentre || len(ls.tx.Writes) >= ls.se.MaxRows {
		return
	}
	row, err := decodeRow(tr.Value)
	if err != nil || row.Owner == "" || ls.unchanged(tr.Key) < ls.se.GracePeriod || !ls.ended(row.Owner) ||
		row.Replica != "" && !ls.ended(row.Replica) {
		return
	}
	ls.check(tr)
	for _, holder := range []string{row.Owner, row.Replica} {
		if holder != "" {
			ls.check(lovageplatform.Row{Key: InstancePrefix + holder, Version: ls.leases[holder].row.Version})
		}
	}
	free := RangeRow{Epoch: row.Epoch + 1, CompleteSince: row.Epoch + 1}
	ls.tx.Writes = append(ls.tx.Writes, lovageplatform.Write{Key: tr.Key, Value: free.encode()})
}

func (ls *look) check(row lovageplatform.Row) {
	ch := lovageplatform.Check{Key: row.Key, Version: row.Version}
	if !slices.Contains(ls.tx.Checks, ch) {
		ls.tx.Checks = append(ls.tx.Checks, ch)
	}
}

// remove adds the deletion of rows that belong together, unless the transaction has no room for them.
func (ls *look) remove(rows []lovageplatform.Row) {
	if len(ls.tx.Writes)+len(rows) > ls.se.MaxRows {
		return
	}
	for _, row := range rows {
		ls.check(row)
		ls.tx.Writes = append(ls.tx.Writes, lovageplatform.Write{Key: row.Key, Delete: true})
	}
}

// observe notes since when each row has had its version. After a gap nothing is known: while the table cannot be read,
// live instances cannot renew their rows either.
func (cl *Cleaner) observe(vi *CleanerInput) {
	if vi.ReadAt.Sub(cl.lookAt) > cl.se.MaxObservationGap {
		clear(cl.seen)
	}
	cl.lookAt = vi.ReadAt
	present := make(map[string]bool, len(vi.Instances)+len(vi.Operations)+len(vi.Ranges))
	for _, row := range slices.Concat(vi.Instances, vi.Operations, vi.Ranges) {
		present[row.Key] = true
		ob := cl.seen[row.Key]
		if ob == nil || ob.version != row.Version {
			cl.seen[row.Key] = &observedLease{version: row.Version, firstSeen: vi.ReadAt, unchanged: vi.ReadAt}
			continue
		}
		ob.unchanged = vi.ReadAt
	}
	for key := range cl.seen {
		if !present[key] {
			delete(cl.seen, key)
		}
	}
}

func (cl *Cleaner) unchanged(key string) time.Duration {
	ob := cl.seen[key]
	return ob.unchanged.Sub(ob.firstSeen)
}
