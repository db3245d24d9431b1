package lovagetrial

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovageapi"
	"lovagestack/lovageresource"
)

// inForceLimit is how soon invariant 8 requires a change to be in force, in a deployment of the current size.
const inForceLimit = 5 * time.Second

// Operator reads and writes resources through the operator API and records every call.
type Operator struct{ deployment *Deployment }

// NewOperator returns an operator that is safe for concurrent use.
func (de *Deployment) NewOperator() *Operator { return &Operator{deployment: de} }

// Put writes a resource through an instance.
func (op *Operator) Put(ctx context.Context, it *Instance, re lovageresource.Resource) (lovageresource.WriteResult, error) {
	rec := WriteRecord{Process: it.ID(), Resource: re, Invoked: time.Now()}
	rec.Result, rec.Err = it.OperatorClient.Put(ctx, re)
	rec.Returned = time.Now()
	op.deployment.evidence.update(func(ev *Evidence) { ev.Writes = append(ev.Writes, rec) })
	return rec.Result, rec.Err
}

// Delete deletes a resource through an instance.
func (op *Operator) Delete(ctx context.Context, it *Instance, kind lovageresource.Kind, name string, revision int64) (
	lovageresource.WriteResult, error,
) {
	rec := WriteRecord{
		Process: it.ID(), Resource: lovageresource.Resource{Kind: kind, Name: name, Revision: revision}, Deleted: true,
		Invoked: time.Now(),
	}
	rec.Result, rec.Err = it.OperatorClient.Delete(ctx, kind, name, revision)
	rec.Returned = time.Now()
	op.deployment.evidence.update(func(ev *Evidence) { ev.Writes = append(ev.Writes, rec) })
	return rec.Result, rec.Err
}

// Read lists the resources of an instance. It records only lists of ready instances, because a new instance that is not
// ready may lack the newest revision.
func (op *Operator) Read(ctx context.Context, it *Instance) (lovageapi.ListReply, error) {
	ready, _ := it.Entry.Ready()
	rec := ReadRecord{InstanceName: it.Name, Process: it.ID(), Invoked: time.Now()}
	li, err := it.OperatorClient.List(ctx, "")
	if err != nil {
		return li, err
	}
	rec.Returned, rec.Revision, rec.Resources = time.Now(), li.Revision, li.Resources
	if ready {
		op.deployment.evidence.update(func(ev *Evidence) { ev.Reads = append(ev.Reads, rec) })
	}
	return li, nil
}

// AwaitInForce waits until every running instance shows the revision, for at most inForceLimit or until ctx ends. It
// records the instances that do not. No link may have a fault.
func (op *Operator) AwaitInForce(ctx context.Context, revision int64) error {
	rec := InForceRecord{Revision: revision, Limit: inForceLimit}
	ctx, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	for _, it := range op.deployment.Running() {
		for it.Running() {
			if li, err := op.Read(ctx, it); err == nil && li.Revision >= revision {
				break
			}
			if pauseFor(ctx, pollInterval) != nil {
				rec.Missing = append(rec.Missing, it.ID())
				break
			}
		}
	}
	op.deployment.evidence.update(func(ev *Evidence) { ev.InForce = append(ev.InForce, rec) })
	if len(rec.Missing) > 0 {
		return errors.Newf("revision %d is not in force at %q", revision, rec.Missing)
	}
	return nil
}

// Watch watches the resources of an instance from a revision until the watch or ctx ends. It calls onChange after each
// change and records the revisions.
func (op *Operator) Watch(ctx context.Context, it *Instance, fromRevision int64, onChange func()) error {
	rec := WatchRecord{Process: it.ID(), FromRevision: fromRevision}
	err := it.OperatorClient.Watch(ctx, fromRevision, func(li lovageapi.WatchLine) error {
		if li.Change != nil {
			rec.Revisions = append(rec.Revisions, li.Change.Revision)
			onChange()
		}
		return nil
	})
	op.deployment.evidence.update(func(ev *Evidence) { ev.Watches = append(ev.Watches, rec) })
	return err
}
