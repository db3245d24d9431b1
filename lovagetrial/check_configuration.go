package lovagetrial

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"lovagestack/lovageresource"
)

// checkWrites checks that no two accepted changes got the same revision or replaced the same revision of a resource.
func (ch *checker) checkWrites() {
	type replacedRevision struct {
		kind, name string
		revision   int64
	}
	revisions, changes := map[int64]*WriteRecord{}, map[replacedRevision]*WriteRecord{}
	for i := range ch.ev.Writes {
		wr := &ch.ev.Writes[i]
		if wr.Err != nil || wr.Result.Outcome != lovageresource.WriteAccepted {
			continue
		}
		if other := revisions[wr.Result.Revision]; other != nil {
			ch.addViolation(8, "revision %d was accepted twice: at %s and %s", wr.Result.Revision, other.Process, wr.Process)
		}
		revisions[wr.Result.Revision] = wr
		replaced := replacedRevision{string(wr.Resource.Kind), wr.Resource.Name, wr.Resource.Revision}
		// A deleted resource may be created again, which is a second change of revision 0.
		if other := changes[replaced]; other != nil &&
			(replaced.revision != 0 || !ch.deletedBetween(wr, other.Result.Revision, wr.Result.Revision)) {
			ch.addViolation(8, "%s %q: two changes of revision %d were accepted: %d and %d", replaced.kind, replaced.name,
				replaced.revision, other.Result.Revision, wr.Result.Revision)
		}
		changes[replaced] = wr
	}
}

// deletedBetween reports whether a deletion of target's resource took effect, or may have, between revisions a and b.
func (ch *checker) deletedBetween(target *WriteRecord, a, b int64) bool {
	after, until := min(a, b), max(a, b)
	for i := range ch.ev.Writes {
		wr := &ch.ev.Writes[i]
		if !wr.Deleted || wr.Resource.Kind != target.Resource.Kind || wr.Resource.Name != target.Resource.Name {
			continue
		}
		switch {
		case wr.Err != nil, wr.Result.Outcome == lovageresource.WriteAmbiguous:
			if wr.Resource.Revision >= after && wr.Resource.Revision < until {
				return true
			}
		case wr.Result.Outcome == lovageresource.WriteAccepted:
			if wr.Result.Revision > after && wr.Result.Revision <= until {
				return true
			}
		}
	}
	return false
}

type newestRead struct {
	read      *ReadRecord
	revisions map[string]int64 // revision of each resource, by "kind/name"
}

// checkReads checks that no instance goes back to an older revision, even after a restart, and that a revision of a
// resource has the same spec in all reads. A resource that disappears has gone back, unless it was deleted.
func (ch *checker) checkReads() {
	reads := slices.Clone(ch.ev.Reads)
	slices.SortStableFunc(reads, func(a, b ReadRecord) int { return a.Returned.Compare(b.Returned) })
	newestByInstance := map[string]newestRead{}
	specs := map[string]string{}
	for i := range reads {
		re := &reads[i]
		ch.checkSpecs(re, specs)
		before, ok := newestByInstance[re.InstanceName]
		if ok && re.Invoked.Before(before.read.Returned) {
			continue // overlapping reads have no order
		}
		now := newestRead{read: re, revisions: map[string]int64{}}
		for _, resource := range re.Resources {
			now.revisions[string(resource.Kind)+"/"+resource.Name] = resource.Revision
		}
		if ok {
			if re.Revision < before.read.Revision {
				ch.addViolation(8, "%s went back from revision %d (%s, %s) to %d (%s, %s)", re.InstanceName, before.read.Revision,
					before.read.Process, formatSeconds(before.read.Returned), re.Revision, re.Process, formatSeconds(re.Returned))
			}
			for name, revision := range before.revisions {
				if _, exists := now.revisions[name]; !exists && ch.deletedBetween(writeRecordNamed(name), revision, re.Revision) {
					continue
				}
				if now.revisions[name] < revision {
					ch.addViolation(8, "%s: %s went back from revision %d to %d", re.InstanceName, name, revision, now.revisions[name])
				}
			}
		}
		newestByInstance[re.InstanceName] = now
	}
}

// writeRecordNamed returns a record with only the kind and name of the resource "kind/name".
func writeRecordNamed(kindAndName string) *WriteRecord {
	kind, name, _ := strings.Cut(kindAndName, "/")
	return &WriteRecord{Resource: lovageresource.Resource{Kind: lovageresource.Kind(kind), Name: name}}
}

// checkWatches checks that each watch shows consecutive revisions from FromRevision+1.
func (ch *checker) checkWatches() {
	for _, wa := range ch.ev.Watches {
		previous := wa.FromRevision
		for _, revision := range wa.Revisions {
			if revision != previous+1 {
				ch.addViolation(8, "the watch at %s from revision %d shows %d after %d", wa.Process, wa.FromRevision, revision, previous)
			}
			previous = revision
		}
	}
}

// checkSpecs checks that a resource revision has the same spec in this read as in earlier reads, and adds its spec to
// specs.
func (ch *checker) checkSpecs(re *ReadRecord, specs map[string]string) {
	for _, resource := range re.Resources {
		spec, err := json.Marshal(resource.Spec)
		if err != nil {
			ch.addViolation(8, "%s: %s %q cannot be encoded: %v", re.InstanceName, resource.Kind, resource.Name, err)
			continue
		}
		resourceRevision := fmt.Sprintf("%s/%s at revision %d", resource.Kind, resource.Name, resource.Revision)
		if other, ok := specs[resourceRevision]; ok && other != string(spec) {
			ch.addViolation(8, "%s: %s is %s, elsewhere %s", re.InstanceName, resourceRevision, spec, other)
		}
		specs[resourceRevision] = string(spec)
	}
}

func formatSeconds(t time.Time) string { return t.Format("05.000") }
