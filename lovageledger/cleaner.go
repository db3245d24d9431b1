package lovageledger

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagestack/lovageplatform"
)

// Prefixes of the table rows that a Cleaner reads. The rows with OperationPrefix are written by lovageplatform.Writer.
const (
	RangePrefix     = rangePrefix
	InstancePrefix  = instancePrefix
	OperationPrefix = "operation/"
)

// SyncSuffix is appended to the instance ID for the instance's second writer, which commits configuration changes.
const SyncSuffix = "-sync"

// CleanerSettings configures a Cleaner. Zero durations and numbers take their defaults.
type CleanerSettings struct {
	Instance          string
	DataCentre        string
	LeaseTTL          time.Duration // default 6 s
	GracePeriod       time.Duration // time for which a lease must have been expired; default 10 min
	MaxObservationGap time.Duration // a longer time between two calls of Plan resets all observations; default 3 min
	MaxRows           int           // most rows in one transaction; default 50
}

// Cleaner decides which rows of ended instances are deleted from the table, and frees the ranges that name them. The
// rows would accumulate otherwise, because a process gets a new ID at each start. A Cleaner does no I/O and reads no
// clock; its user calls Plan about once a minute.
//
// A row is deleted only at the version that was observed. A row that was renewed in between therefore stays, and only
// one of several concurrent cleaners succeeds. A process that was only paused finds its row operation/<id> deleted and
// ends.
type Cleaner struct {
	settings   CleanerSettings
	observed   map[string]*observedVersion // by row key
	observedAt time.Time
}

// NewCleaner returns a Cleaner without observations.
func NewCleaner(se CleanerSettings) *Cleaner {
	setDefault(&se.LeaseTTL, 6*time.Second)
	setDefault(&se.GracePeriod, 10*time.Minute)
	setDefault(&se.MaxObservationGap, 3*time.Minute)
	setDefault(&se.MaxRows, 50)
	return &Cleaner{settings: se, observed: map[string]*observedVersion{}}
}

// CleanerInput is the input of Cleaner.Plan. Rows come from reads that were issued at ReadAt or later and not served
// from a cache.
type CleanerInput struct {
	ReadAt          time.Time
	Instances       []lovageplatform.Row // with InstancePrefix
	Operations      []lovageplatform.Row // with OperationPrefix
	Ranges          []lovageplatform.Row // with RangePrefix
	Listed          map[string]bool      // instance IDs in the platform's list
	ListedAddresses map[string]bool      // addresses in that list at which no known live process runs
	Members         []Member             // as known from heartbeats
}

// Elected reports whether this instance cleans up for its data centre: the live instance whose ID has the lowest hash
// does.
func (cl *Cleaner) Elected(members []Member) bool {
	own := xxhash.Sum64String(cl.settings.Instance)
	for _, me := range members {
		if me.DataCentre == cl.settings.DataCentre && me.State == MemberLive && !me.Leaving && xxhash.Sum64String(me.ID) < own {
			return false
		}
	}
	return true
}

// Plan observes the rows and returns a transaction that deletes those of ended instances and frees ranges whose owner
// and replica have ended. If there is nothing to do, the transaction has no writes.
func (cl *Cleaner) Plan(in *CleanerInput) lovageplatform.Transaction {
	cl.observeRows(in)
	pl := cl.newPlan(in)
	for _, row := range in.Ranges {
		pl.freeRange(row)
	}
	for _, row := range in.Instances {
		id := strings.TrimPrefix(row.Key, InstancePrefix)
		if pl.leases[id].dataCentre == cl.settings.DataCentre && !pl.referenced[id] && pl.hasEnded(id) {
			pl.deleteRows(append([]lovageplatform.Row{row}, pl.operations[id]...))
		}
	}
	for _, row := range in.Operations {
		id := operationOf(row.Key)
		if _, leased := pl.leases[id]; !leased && !pl.referenced[id] && pl.hasEnded(id) &&
			cl.unchangedFor(row.Key) >= cl.settings.GracePeriod {
			pl.deleteRows([]lovageplatform.Row{row})
		}
	}
	return pl.transaction
}

type cleanupPlan struct {
	*Cleaner
	input       *CleanerInput
	transaction lovageplatform.Transaction
	leases      map[string]instanceLease
	operations  map[string][]lovageplatform.Row // by instance
	referenced  map[string]bool                 // instances that a range row names as owner or replica
	alive       map[string]bool                 // this instance and the members that are not gone
}

type instanceLease struct {
	row                 lovageplatform.Row
	dataCentre, address string
}

// operationOf returns the ID of the instance whose writer owns the row.
func operationOf(key string) string {
	return strings.TrimSuffix(strings.TrimPrefix(key, OperationPrefix), SyncSuffix)
}

func (cl *Cleaner) newPlan(in *CleanerInput) *cleanupPlan {
	pl := &cleanupPlan{
		Cleaner: cl, input: in, leases: make(map[string]instanceLease, len(in.Instances)),
		operations: map[string][]lovageplatform.Row{}, referenced: map[string]bool{},
		alive: map[string]bool{cl.settings.Instance: true},
	}
	for _, row := range in.Instances {
		var lease instanceRow
		_ = json.Unmarshal(row.Value, &lease) // a row that cannot be decoded has no data centre and is left alone
		pl.leases[strings.TrimPrefix(row.Key, InstancePrefix)] = instanceLease{row, lease.DataCentre, lease.Address}
	}
	for _, row := range in.Operations {
		id := operationOf(row.Key)
		pl.operations[id] = append(pl.operations[id], row)
	}
	for _, tr := range in.Ranges {
		if row, err := decodeRow(tr.Value); err == nil {
			pl.referenced[row.Owner], pl.referenced[row.Replica] = true, true
		}
	}
	for _, me := range in.Members {
		pl.alive[me.ID] = pl.alive[me.ID] || me.State != MemberGone
	}
	return pl
}

// hasEnded reports whether the lease of the instance has been expired for the grace period and no member list or
// platform list shows the instance. Without an instance row the lists alone decide.
func (pl *cleanupPlan) hasEnded(id string) bool {
	lease, leased := pl.leases[id]
	return !pl.alive[id] && !pl.input.Listed[id] && (!leased || !pl.input.ListedAddresses[lease.address] &&
		lease.dataCentre != "" && pl.unchangedFor(lease.row.Key) >= pl.settings.LeaseTTL+pl.settings.GracePeriod)
}

// freeRange frees a range of this data centre whose owner and replica have ended. Rule C lets an instance claim such a
// range; freeRange changes the row likewise, but names no owner. A new instance cannot know at its start that these
// leases have expired, so it would create a row instead of claiming the range. The range would then name ended
// instances until another instance needs it.
func (pl *cleanupPlan) freeRange(tr lovageplatform.Row) {
	id, err := ParseRangeID(tr.Key)
	if err != nil || id.DataCentre != pl.settings.DataCentre || len(pl.transaction.Writes) >= pl.settings.MaxRows {
		return
	}
	row, err := decodeRow(tr.Value)
	if err != nil || row.Owner == "" || pl.unchangedFor(tr.Key) < pl.settings.GracePeriod || !pl.hasEnded(row.Owner) ||
		row.Replica != "" && !pl.hasEnded(row.Replica) {
		return
	}
	pl.addCheck(tr)
	for _, holder := range []string{row.Owner, row.Replica} {
		if holder != "" {
			pl.addCheck(lovageplatform.Row{Key: InstancePrefix + holder, Version: pl.leases[holder].row.Version})
		}
	}
	free := RangeRow{Epoch: row.Epoch + 1, CompleteSince: row.Epoch + 1}
	pl.transaction.Writes = append(pl.transaction.Writes, lovageplatform.Write{Key: tr.Key, Value: free.encode()})
}

func (pl *cleanupPlan) addCheck(row lovageplatform.Row) {
	ch := lovageplatform.Check{Key: row.Key, Version: row.Version}
	if !slices.Contains(pl.transaction.Checks, ch) {
		pl.transaction.Checks = append(pl.transaction.Checks, ch)
	}
}

// deleteRows adds the deletion of rows that belong together, unless the transaction has no room for all of them.
func (pl *cleanupPlan) deleteRows(rows []lovageplatform.Row) {
	if len(pl.transaction.Writes)+len(rows) > pl.settings.MaxRows {
		return
	}
	for _, row := range rows {
		pl.addCheck(row)
		pl.transaction.Writes = append(pl.transaction.Writes, lovageplatform.Write{Key: row.Key, Delete: true})
	}
}

// observeRows records when each row was first seen at its version. It resets the observations after a gap, because
// live instances cannot renew their rows either while the table cannot be read.
func (cl *Cleaner) observeRows(in *CleanerInput) {
	if in.ReadAt.Sub(cl.observedAt) > cl.settings.MaxObservationGap {
		clear(cl.observed)
	}
	cl.observedAt = in.ReadAt
	presentKeys := make(map[string]bool, len(in.Instances)+len(in.Operations)+len(in.Ranges))
	for _, row := range slices.Concat(in.Instances, in.Operations, in.Ranges) {
		presentKeys[row.Key] = true
		ov := cl.observed[row.Key]
		if ov == nil || ov.version != row.Version {
			cl.observed[row.Key] = &observedVersion{version: row.Version, firstSeen: in.ReadAt, lastSeen: in.ReadAt}
			continue
		}
		ov.lastSeen = in.ReadAt
	}
	for key := range cl.observed {
		if !presentKeys[key] {
			delete(cl.observed, key)
		}
	}
}

func (cl *Cleaner) unchangedFor(key string) time.Duration {
	ov := cl.observed[key]
	return ov.lastSeen.Sub(ov.firstSeen)
}
