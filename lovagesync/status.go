package lovagesync

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lovagestack/lovageresource"
)

// Reported notes the applied revision that an instance told in a heartbeat or a push. If it is higher than the
// store's, the instance is asked for the changes.
func (ke *Keeper) Reported(instance string, revision int64) {
	ke.note(instance, revision)
	if revision <= ke.Store.Revision() {
		return
	}
	ke.mu.Lock()
	ke.ahead[instance] = true
	ke.mu.Unlock()
	signal(ke.wake)
}

// ReportedAt notes what a summary says of an instance that was heard from at a time.
func (ke *Keeper) ReportedAt(instance string, revision int64, at time.Time) {
	ke.noteAt(instance, revision, at)
}

func (ke *Keeper) note(instance string, revision int64) { ke.noteAt(instance, revision, time.Now()) }

// noteAt records a report. A report that arrives late must not hide a later one, as revisions never go down; but an
// instance that was replaced under the same ID starts again, so a lower revision counts once the last one is stale.
func (ke *Keeper) noteAt(instance string, revision int64, at time.Time) {
	if instance == "" || instance == ke.ID {
		return
	}
	ke.mu.Lock()
	defer ke.mu.Unlock()
	old, ok := ke.reports[instance]
	if ok && old.revision > revision && time.Since(old.at) <= ke.AnswerWithin {
		return
	}
	if ok && at.Before(old.at) { // a summary is older than what the instance said itself
		at, revision = old.at, max(revision, old.revision)
	}
	ke.reports[instance] = report{revision: revision, at: at}
}

// reported returns the last revision that an instance reported, 0 if none.
func (ke *Keeper) reported(instance string) int64 {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	return ke.reports[instance].revision
}

// applied returns what each instance reported, by ID, with this instance. Instances silent for long are dropped.
func (ke *Keeper) applied() []lovageresource.Applied {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	out := []lovageresource.Applied{{Instance: ke.ID, Revision: ke.Store.Revision(), Answered: true}}
	for id, rep := range ke.reports {
		silent := time.Since(rep.at)
		if silent > ke.ForgetAfter {
			delete(ke.reports, id)
			continue
		}
		out = append(out, lovageresource.Applied{
			Instance: id, Revision: rep.revision, Answered: silent <= ke.AnswerWithin,
		})
	}
	slices.SortFunc(out, func(a, b lovageresource.Applied) int { return strings.Compare(a.Instance, b.Instance) })
	return out
}

// InForce says whether a revision is in force. Only instances that answered recently count; an instance that does not
// answer is named in the reason and claimed neither way.
func (ke *Keeper) InForce(revision int64) (lovageresource.Condition, []lovageresource.Applied) {
	applied := ke.applied()
	answered, current, silent := 0, 0, 0
	for _, ap := range applied {
		switch {
		case !ap.Answered:
			silent++
		case ap.Revision >= revision:
			answered++
			current++
		default:
			answered++
		}
	}
	co := lovageresource.Condition{Type: lovageresource.InForce, Status: lovageresource.ConditionTrue}
	if current < answered {
		co.Status = lovageresource.ConditionFalse
	}
	if ready, _ := ke.Ready(); !ready {
		co.Status = lovageresource.ConditionUnknown
	}
	co.Reason = fmt.Sprintf("revision %d is applied by %d of %d instances that answered", revision, current, answered)
	if silent > 0 {
		co.Reason += fmt.Sprintf("; %d did not answer", silent)
	}
	return co, applied
}

// poolConditions says whether what a pool names is declared, and only once.
func (ke *Keeper) poolConditions(name string, pool *lovageresource.Pool) []lovageresource.Condition {
	condition := func(kind string, faults []string, what string) lovageresource.Condition {
		co := lovageresource.Condition{Type: kind, Status: lovageresource.ConditionTrue}
		if len(faults) > 0 {
			co.Status = lovageresource.ConditionFalse
			co.Reason = what + ": " + strings.Join(faults, ", ")
		}
		return co
	}
	var missing, twice []string
	for _, service := range pool.Services {
		if _, ok := ke.Store.Get(lovageresource.KindService, service); !ok {
			missing = append(missing, service)
		}
	}
	owned := map[string]bool{}
	for _, wo := range pool.Workers {
		owned[wo.ID] = true
	}
	pools, _ := ke.Store.List(lovageresource.KindPool)
	for _, re := range pools {
		other, ok := re.Spec.(lovageresource.Pool)
		if !ok || re.Name == name {
			continue
		}
		for _, wo := range other.Workers {
			if owned[wo.ID] {
				twice = append(twice, wo.ID+" in "+re.Name)
			}
		}
	}
	return []lovageresource.Condition{
		condition(lovageresource.ReferencesExist, missing, "not declared"),
		condition(lovageresource.WorkersUnique, twice, "declared by other pools too"),
	}
}

// Get returns a resource with its status.
func (ke *Keeper) Get(kind lovageresource.Kind, name string) (lovageresource.Resource, bool) {
	re, ok := ke.Store.Get(kind, name)
	if !ok {
		return re, false
	}
	inForce, applied := ke.InForce(re.Revision)
	re.Status = lovageresource.Status{Conditions: []lovageresource.Condition{inForce}, Applied: applied}
	if pool, ok := re.Spec.(lovageresource.Pool); ok {
		re.Status.Conditions = append(re.Status.Conditions, ke.poolConditions(name, &pool)...)
	}
	return re, true
}

// List returns the resources of a kind, or all, without status, and the revision at which they are listed.
func (ke *Keeper) List(kind lovageresource.Kind) ([]lovageresource.Resource, int64) {
	return ke.Store.List(kind)
}

// Since returns changes after a revision; see lovageresource.Store.
func (ke *Keeper) Since(after int64, limit int) ([]lovageresource.Change, error) {
	return ke.Store.Since(after, limit)
}

// Changed returns a channel that is closed when the next revision is applied.
func (ke *Keeper) Changed() <-chan struct{} { return ke.Store.Changed() }
