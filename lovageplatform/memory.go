package lovageplatform

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// Memory is an in-memory table, object store and list of instances. Its methods are safe for concurrent use.
//
// Deleting a row resets its version: the next write has version 1 again. Real platforms may do the same, so code that
// deletes rows must not rely on a version never being reused.
type Memory struct {
	mu        sync.RWMutex
	rows      map[string]Row
	objects   map[string][]byte
	instances map[string]Instance
}

// NewMemory returns an empty platform.
func NewMemory() *Memory {
	return &Memory{rows: map[string]Row{}, objects: map[string][]byte{}, instances: map[string]Instance{}}
}

// Read returns one row for each key, in the order of the keys; a row that does not exist has version 0.
func (me *Memory) Read(ctx context.Context, keys ...string) ([]Row, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Operation: "read", Effect: EffectNotSent, Err: err}
	}
	me.mu.RLock()
	defer me.mu.RUnlock()
	out := make([]Row, len(keys))
	for i, key := range keys {
		out[i] = me.row(key)
	}
	return out, nil
}

// Scan returns the rows whose key starts with the prefix, in key order.
func (me *Memory) Scan(ctx context.Context, prefix string) ([]Row, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Operation: "scan", Effect: EffectNotSent, Err: err}
	}
	me.mu.RLock()
	defer me.mu.RUnlock()
	var out []Row
	for key := range me.rows {
		if strings.HasPrefix(key, prefix) {
			out = append(out, me.row(key))
		}
	}
	slices.SortFunc(out, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

// Commit applies the transaction if all its checks hold. A failed check is not an error; the result then holds
// the conflicting rows.
func (me *Memory) Commit(ctx context.Context, tx Transaction) (CommitResult, error) {
	if err := ctx.Err(); err != nil {
		return CommitResult{}, &Error{Operation: "commit", Effect: EffectNotSent, Err: err}
	}
	if err := tx.validate(); err != nil {
		return CommitResult{}, &Error{Operation: "commit", Effect: EffectRefused, Err: err}
	}
	me.mu.Lock()
	defer me.mu.Unlock()
	var res CommitResult
	for _, ch := range tx.Checks {
		if ro := me.row(ch.Key); ro.Version != ch.Version {
			res.Conflicts = append(res.Conflicts, ro)
		}
	}
	if len(res.Conflicts) > 0 {
		return res, nil
	}
	res.Committed = true
	res.Versions = make(map[string]int64, len(tx.Writes))
	for _, wr := range tx.Writes {
		if wr.Delete {
			delete(me.rows, wr.Key)
			res.Versions[wr.Key] = 0
			continue
		}
		ro := Row{Key: wr.Key, Value: slices.Clone(wr.Value), Version: me.rows[wr.Key].Version + 1}
		me.rows[wr.Key] = ro
		res.Versions[wr.Key] = ro.Version
	}
	return res, nil
}

// row returns a copy of the row that shares no memory with the table. The caller holds mu.
func (me *Memory) row(key string) Row {
	ro, ok := me.rows[key]
	if !ok {
		return Row{Key: key}
	}
	ro.Value = slices.Clone(ro.Value)
	return ro
}

// validate returns the first fault of the transaction. Two writes of one row are a fault, as their order is undefined.
func (tx *Transaction) validate() error {
	seen := make(map[string]struct{}, len(tx.Writes))
	for _, wr := range tx.Writes {
		if wr.Key == "" {
			return errors.New("a write has no key")
		}
		if _, ok := seen[wr.Key]; ok {
			return errors.Newf("row %q is written twice", wr.Key)
		}
		seen[wr.Key] = struct{}{}
	}
	for _, ch := range tx.Checks {
		if ch.Key == "" || ch.Version < 0 {
			return errors.Newf("check of row %q at version %d is not valid", ch.Key, ch.Version)
		}
	}
	return nil
}

// GetObject returns the object; the error matches ErrNotFound if there is none.
func (me *Memory) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Operation: "get object", Effect: EffectNotSent, Err: err}
	}
	me.mu.RLock()
	defer me.mu.RUnlock()
	data, ok := me.objects[name]
	if !ok {
		return nil, &Error{Operation: "get object", Effect: EffectRefused, Err: errors.Wrapf(ErrNotFound, "object %q", name)}
	}
	return slices.Clone(data), nil
}

// PutObject creates or replaces the object.
func (me *Memory) PutObject(ctx context.Context, name string, data []byte) error {
	if err := ctx.Err(); err != nil {
		return &Error{Operation: "put object", Effect: EffectNotSent, Err: err}
	}
	if err := validateObject("put object", name); err != nil {
		return err
	}
	me.mu.Lock()
	defer me.mu.Unlock()
	me.objects[name] = slices.Clone(data)
	return nil
}

// DeleteObject removes the object; it is no error if there is none.
func (me *Memory) DeleteObject(ctx context.Context, name string) error {
	if err := ctx.Err(); err != nil {
		return &Error{Operation: "delete object", Effect: EffectNotSent, Err: err}
	}
	me.mu.Lock()
	defer me.mu.Unlock()
	delete(me.objects, name)
	return nil
}

// Instances returns the list of instances, sorted by ID.
func (me *Memory) Instances(ctx context.Context) ([]Instance, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Operation: "list instances", Effect: EffectNotSent, Err: err}
	}
	me.mu.RLock()
	defer me.mu.RUnlock()
	out := make([]Instance, 0, len(me.instances))
	for _, in := range me.instances {
		out = append(out, in)
	}
	slices.SortFunc(out, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	return out, nil
}

// PutInstance adds the instance to the list, or replaces the one of the same ID.
func (me *Memory) PutInstance(in Instance) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.instances[in.ID] = in
}

// RemoveInstance removes the instance from the list.
func (me *Memory) RemoveInstance(id string) {
	me.mu.Lock()
	defer me.mu.Unlock()
	delete(me.instances, id)
}
