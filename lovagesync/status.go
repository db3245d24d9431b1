package lovagesync

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lovagestack/lovageresource"
)

// ObserveRevision records the applied revision that an instance reported in a heartbeat or a push. If the revision is
// above the store's, fetchLoop fetches the changes from that instance.
func (sy *Syncer) ObserveRevision(instance string, revision int64) {
	sy.recordRevision(instance, revision)
	if revision <= sy.Store.Revision() {
		return
	}
	sy.mu.Lock()
	sy.peersAhead[instance] = true
	sy.mu.Unlock()
	signal(sy.wake)
}

// ObserveRevisionAt records an instance's applied revision from a relay's summary of its data centre. at is the time of
// the relay's last contact with the instance.
func (sy *Syncer) ObserveRevisionAt(instance string, revision int64, at time.Time) {
	sy.recordRevisionAt(instance, revision, at)
}

func (sy *Syncer) recordRevision(instance string, revision int64) {
	sy.recordRevisionAt(instance, revision, time.Now())
}

// recordRevisionAt records a reported revision and the time of the report. Revisions do not decrease, so a report of a
// lower revision is late and ignored. But an instance that was replaced under the same ID starts again at a lower
// revision. A lower revision is therefore recorded once the last report is older than AnswerTimeout.
func (sy *Syncer) recordRevisionAt(instance string, revision int64, at time.Time) {
	if instance == "" || instance == sy.ID {
		return
	}
	sy.mu.Lock()
	defer sy.mu.Unlock()
	old, ok := sy.reports[instance]
	if ok && old.revision > revision && time.Since(old.lastContact) <= sy.AnswerTimeout {
		return
	}
	if ok && at.Before(old.lastContact) { // a summary may be older than the instance's own report
		at, revision = old.lastContact, max(revision, old.revision)
	}
	sy.reports[instance] = revisionReport{revision: revision, lastContact: at}
}

// reportedRevision returns the last revision that an instance reported, 0 if it reported none.
func (sy *Syncer) reportedRevision(instance string) int64 {
	sy.mu.Lock()
	defer sy.mu.Unlock()
	return sy.reports[instance].revision
}

// appliedRevisions returns the last reported revision of each instance, and that of this instance, sorted by ID. It
// forgets instances without a report for ForgetAfter.
func (sy *Syncer) appliedRevisions() []lovageresource.AppliedRevision {
	sy.mu.Lock()
	defer sy.mu.Unlock()
	out := []lovageresource.AppliedRevision{{Instance: sy.ID, Revision: sy.Store.Revision(), Answered: true}}
	for id, rep := range sy.reports {
		age := time.Since(rep.lastContact)
		if age > sy.ForgetAfter {
			delete(sy.reports, id)
			continue
		}
		out = append(out, lovageresource.AppliedRevision{
			Instance: id, Revision: rep.revision, Answered: age <= sy.AnswerTimeout,
		})
	}
	slices.SortFunc(out, func(a, b lovageresource.AppliedRevision) int { return strings.Compare(a.Instance, b.Instance) })
	return out
}

// InForce returns the condition whether all instances have applied a revision, and the revision that each has applied.
// Only instances that reported within AnswerTimeout count; the reason states how many did not. The condition is unknown
// until this instance has loaded the resources.
func (sy *Syncer) InForce(revision int64) (lovageresource.Condition, []lovageresource.AppliedRevision) {
	applied := sy.appliedRevisions()
	answered, upToDate, unanswered := 0, 0, 0
	for _, ap := range applied {
		switch {
		case !ap.Answered:
			unanswered++
		case ap.Revision >= revision:
			answered++
			upToDate++
		default:
			answered++
		}
	}
	co := lovageresource.Condition{Type: lovageresource.InForce, Status: lovageresource.ConditionTrue}
	if upToDate < answered {
		co.Status = lovageresource.ConditionFalse
	}
	if ready, _ := sy.Ready(); !ready {
		co.Status = lovageresource.ConditionUnknown
	}
	co.Reason = fmt.Sprintf("revision %d is applied by %d of %d instances that answered", revision, upToDate, answered)
	if unanswered > 0 {
		co.Reason += fmt.Sprintf("; %d did not answer", unanswered)
	}
	return co, applied
}

// poolConditions reports whether the services of a pool are declared and whether no other pool declares its workers.
func (sy *Syncer) poolConditions(name string, pool *lovageresource.Pool) []lovageresource.Condition {
	condition := func(kind string, faults []string, summary string) lovageresource.Condition {
		co := lovageresource.Condition{Type: kind, Status: lovageresource.ConditionTrue}
		if len(faults) > 0 {
			co.Status = lovageresource.ConditionFalse
			co.Reason = summary + ": " + strings.Join(faults, ", ")
		}
		return co
	}
	var missing, duplicates []string
	for _, service := range pool.Services {
		if _, ok := sy.Store.Get(lovageresource.KindService, service); !ok {
			missing = append(missing, service)
		}
	}
	declared := map[string]bool{}
	for _, wo := range pool.Workers {
		declared[wo.ID] = true
	}
	pools, _ := sy.Store.List(lovageresource.KindPool)
	for _, re := range pools {
		other, ok := re.Spec.(lovageresource.Pool)
		if !ok || re.Name == name {
			continue
		}
		for _, wo := range other.Workers {
			if declared[wo.ID] {
				duplicates = append(duplicates, wo.ID+" in "+re.Name)
			}
		}
	}
	return []lovageresource.Condition{
		condition(lovageresource.ReferencesExist, missing, "not declared"),
		condition(lovageresource.WorkersUnique, duplicates, "declared by other pools too"),
	}
}

// Get returns a resource with its status.
func (sy *Syncer) Get(kind lovageresource.Kind, name string) (lovageresource.Resource, bool) {
	re, ok := sy.Store.Get(kind, name)
	if !ok {
		return re, false
	}
	inForce, applied := sy.InForce(re.Revision)
	re.Status = lovageresource.Status{Conditions: []lovageresource.Condition{inForce}, Applied: applied}
	if pool, ok := re.Spec.(lovageresource.Pool); ok {
		re.Status.Conditions = append(re.Status.Conditions, sy.poolConditions(name, &pool)...)
	}
	return re, true
}

// List returns the resources of a kind, or of all kinds if kind is empty, without status, and the revision of the list.
func (sy *Syncer) List(kind lovageresource.Kind) ([]lovageresource.Resource, int64) {
	return sy.Store.List(kind)
}

// Since returns changes after a revision; see lovageresource.Store.Since.
func (sy *Syncer) Since(after int64, limit int) ([]lovageresource.Change, error) {
	return sy.Store.Since(after, limit)
}

// Changed returns a channel that is closed when the next revision is applied.
func (sy *Syncer) Changed() <-chan struct{} { return sy.Store.Changed() }
