package lovageplatform

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// flakyTable is a Memory that loses replies, drops or delays commits as nextAction says.
type flakyTable struct {
	*Memory
	nextAction   func() string  // what happens to the next commit
	delayed      []Transaction  // commits to be applied later by applyDelayed
	appliedCount map[string]int // how often each operation took effect, by ID
}

func newFlakyTable(nextAction func() string) *flakyTable {
	return &flakyTable{Memory: NewMemory(), nextAction: nextAction, appliedCount: map[string]int{}}
}

func (ft *flakyTable) applyNow(ctx context.Context, tx Transaction) (CommitResult, error) {
	res, err := ft.Memory.Commit(ctx, tx)
	if err == nil && res.Committed {
		ft.appliedCount[tx.OperationID]++
	}
	return res, err
}

func (ft *flakyTable) applyDelayed(i int) {
	tx := ft.delayed[i]
	ft.delayed = append(ft.delayed[:i:i], ft.delayed[i+1:]...)
	_, _ = ft.applyNow(context.Background(), tx)
}

func (ft *flakyTable) Commit(ctx context.Context, tx Transaction) (CommitResult, error) {
	fail := func(effect Effect) (CommitResult, error) {
		return CommitResult{}, &Error{Operation: "commit", Effect: effect, Err: errors.New("injected")}
	}
	switch action := ft.nextAction(); action {
	case "lost":
		_, _ = ft.applyNow(ctx, tx)
		return fail(EffectAmbiguous)
	case "dropped":
		return fail(EffectAmbiguous)
	case "held":
		ft.delayed = append(ft.delayed, tx)
		return fail(EffectAmbiguous)
	case "notSent":
		return fail(EffectNotSent)
	case "refused":
		return fail(EffectRefused)
	default:
		return ft.applyNow(ctx, tx)
	}
}

func newFastWriter(ta Table) *Writer {
	return NewWriter(ta, "k1", WriterSettings{MinBackoff: time.Microsecond, MaxBackoff: time.Microsecond})
}

// Checks that a writer reports the true effect of each transaction, and that no transaction takes effect twice, or after
// the writer reported that it had no effect. Any requests and replies may be lost or delayed.
func TestWriterReportsTrueEffect(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var ctx context.Context
		var cancel context.CancelFunc
		newContext := func() { ctx, cancel = context.WithCancel(context.Background()) }
		newContext()
		attempts := 0
		ft := newFlakyTable(nil)
		ft.nextAction = func() string {
			if attempts++; attempts > 30 {
				return "ok"
			}
			if len(ft.delayed) > 0 && rapid.Bool().Draw(rt, "land") {
				ft.applyDelayed(rapid.IntRange(0, len(ft.delayed)-1).Draw(rt, "which"))
			}
			if rapid.IntRange(0, 9).Draw(rt, "end") == 0 {
				cancel()
			}
			// Creates or deletes the row gate. While the row exists, a transaction that checks it conflicts.
			_, _ = ft.Memory.Commit(context.Background(), Transaction{
				Writes: []Write{{Key: "gate", Delete: rapid.Bool().Draw(rt, "open")}},
			})
			return rapid.SampledFrom([]string{"ok", "ok", "lost", "dropped", "held", "notSent", "refused"}).Draw(rt, "action")
		}
		wr := newFastWriter(ft)
		for i := range rapid.IntRange(1, 6).Draw(rt, "transactions") {
			id := fmt.Sprintf("op-%d", i)
			tx := Transaction{OperationID: id, Writes: []Write{{Key: id}}}
			if rapid.Bool().Draw(rt, "gated") {
				tx.Checks = []Check{{Key: "gate"}}
			}
			res, err := wr.Commit(ctx, tx)
			switch {
			case errors.Is(err, ErrAmbiguous):
				newContext()
				attempts = 31
				settled, committed, err := wr.Settle(ctx)
				must.NoError(rt, err)
				must.True(rt, settled == id)
				must.Eq(rt, committed, ft.appliedCount[id] == 1)
				attempts = 0
			case err == nil && res.Committed:
				must.Eq(rt, 1, ft.appliedCount[id])
			default:
				must.Eq(rt, 0, ft.appliedCount[id])
				if ctx.Err() != nil {
					newContext()
				}
			}
			before := ft.appliedCount[id]
			_, _ = ft.Memory.Commit(ctx, Transaction{Writes: []Write{{Key: "gate", Delete: true}}})
			for len(ft.delayed) > 0 {
				ft.applyDelayed(0)
			}
			must.Eq(rt, before, ft.appliedCount[id], must.Sprint("a delayed attempt took effect"))
		}
	})
}

func scriptedActions(actions ...string) func() string {
	return func() string {
		if len(actions) == 0 {
			return "ok"
		}
		action := actions[0]
		actions = actions[1:]
		return action
	}
}

// Checks that results have the right row versions, even if the reply to a commit was lost, and that they leave out the row
// operation/k1, in which the writer records its own operations.
func TestWriterRecoversVersions(t *testing.T) {
	ctx := context.Background()
	ft := newFlakyTable(scriptedActions("ok", "ok", "lost")) // the first action is for the creation of the operation row
	wr := newFastWriter(ft)
	res, err := wr.Commit(ctx, Transaction{Writes: []Write{{Key: "a"}}})
	must.NoError(t, err)
	must.Eq(t, CommitResult{Committed: true, Versions: map[string]int64{"a": 1}}, res)
	res, err = wr.Commit(ctx, Transaction{Checks: []Check{{"a", 1}}, Writes: []Write{{Key: "a"}, {Key: "b"}}})
	must.NoError(t, err)
	must.Eq(t, CommitResult{Committed: true, Versions: map[string]int64{"a": 2}}, res)
	res, err = wr.Commit(ctx, Transaction{Checks: []Check{{"a", 1}}, Writes: []Write{{Key: "a"}}})
	must.NoError(t, err)
	must.Eq(t, CommitResult{Conflicts: []Row{{Key: "a", Version: 2}}}, res)
}

// Checks that a transaction takes effect only once if its caller repeats it after an ambiguous result.
func TestWriterRepeatAfterAmbiguousResult(t *testing.T) {
	for _, action := range []string{"lost", "held", "dropped"} {
		t.Run(action, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			ft := newFlakyTable(scriptedActions())
			wr := newFastWriter(ft)
			_, err := wr.Commit(ctx, Transaction{OperationID: "before"}) // creates the operation row
			must.NoError(t, err)
			ft.nextAction = func() string { cancel(); return action }
			tx := Transaction{OperationID: "op", Writes: []Write{{Key: "a"}}}
			_, err = wr.Commit(ctx, tx)
			must.ErrorIs(t, err, ErrAmbiguous)
			must.False(t, errors.Is(err, ErrNotSent))
			ft.nextAction = scriptedActions()
			res, err := wr.Commit(context.Background(), tx)
			must.NoError(t, err)
			must.True(t, res.Committed)
			for len(ft.delayed) > 0 {
				ft.applyDelayed(0)
			}
			must.Eq(t, 1, ft.appliedCount["op"])
		})
	}
}

// Guards against a second effect of a repeat whose first result was dropped to make room for one other result.
func TestWriterRepeatAfterManyLostReplies(t *testing.T) {
	ft := newFlakyTable(scriptedActions())
	wr := newFastWriter(ft)
	commitAndLoseReply := func(id string) Transaction {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		lost := false
		ft.nextAction = func() string {
			if !lost {
				lost = true
				return "lost"
			}
			cancel()
			return "dropped"
		}
		tx := Transaction{OperationID: id, Writes: []Write{{Key: "a"}}}
		_, err := wr.Commit(ctx, tx)
		must.ErrorIs(t, err, ErrAmbiguous)
		ft.nextAction = scriptedActions()
		_, committed, err := wr.Settle(context.Background())
		must.NoError(t, err)
		must.True(t, committed)
		return tx
	}
	_, err := wr.Commit(context.Background(), Transaction{OperationID: "before"}) // creates the operation row
	must.NoError(t, err)
	for i := range maxRecovered - 1 {
		commitAndLoseReply(fmt.Sprintf("never repeated %d", i))
	}
	tx := commitAndLoseReply("op")
	commitAndLoseReply("another")
	res, err := wr.Commit(context.Background(), tx)
	must.NoError(t, err)
	must.True(t, res.Committed)
	must.Eq(t, 1, ft.appliedCount["op"])
}

// Checks that a commit without a reply is ambiguous if a second process with the same name has written operation/k1.
func TestWriterSharedName(t *testing.T) {
	ctx := context.Background()
	ft := newFlakyTable(nil)
	one, two := newFastWriter(ft), newFastWriter(ft)
	ft.nextAction = scriptedActions()
	for _, wr := range []*Writer{one, two, one} {
		res, err := wr.Commit(ctx, Transaction{Writes: []Write{{Key: "a"}}})
		must.NoError(t, err)
		must.True(t, res.Committed)
	}
	calls := 0
	ft.nextAction = func() string {
		if calls++; calls != 1 {
			return "ok"
		}
		version := int64(4) // the writer one created the row, and three commits wrote it
		for range 2 {
			res, err := ft.Memory.Commit(ctx, Transaction{
				Checks: []Check{{"operation/k1", version}}, Writes: []Write{{Key: "operation/k1"}},
			})
			must.NoError(t, err)
			must.True(t, res.Committed)
			version++
		}
		return "dropped"
	}
	_, err := one.Commit(ctx, Transaction{Writes: []Write{{Key: "a"}}})
	must.ErrorIs(t, err, ErrAmbiguous)
}

// Checks that, after the row operation/k1 was deleted, a delayed first transaction only creates that row, a delayed later
// transaction has no effect, and the writer commits nothing more.
func TestWriterRowDeleted(t *testing.T) {
	ctx := context.Background()
	deleteRow := func(ft *flakyTable) {
		_, err := ft.Memory.Commit(ctx, Transaction{Writes: []Write{{Key: "operation/k1", Delete: true}}})
		must.NoError(t, err)
	}
	for _, delayed := range []string{"first", "later", "none"} {
		t.Run(delayed, func(t *testing.T) {
			actions := map[string][]string{
				"first": {"held", "ok", "ok"}, "later": {"ok", "held", "ok", "ok"}, "none": {"ok", "ok"},
			}[delayed]
			ft := newFlakyTable(nil)
			ft.nextAction = func() string {
				if len(actions) == 0 {
					return "ok"
				}
				action := actions[0]
				actions = actions[1:]
				return action
			}
			wr := newFastWriter(ft)
			for i := range 3 {
				res, err := wr.Commit(ctx, Transaction{Writes: []Write{{Key: fmt.Sprintf("a%d", i)}}})
				must.NoError(t, err)
				must.True(t, res.Committed)
			}
			deleteRow(ft)
			before := len(ft.rows)
			for len(ft.delayed) > 0 {
				ft.applyDelayed(0)
			}
			row := ft.row("operation/k1")
			must.Eq(t, delayed == "first", row.Version == 1, must.Sprint("only a first transaction can create the row"))
			delete(ft.rows, "operation/k1")
			must.MapLen(t, before, ft.rows)
			if delayed == "first" {
				ft.rows["operation/k1"] = row
			}
			for range 2 {
				_, err := wr.Commit(ctx, Transaction{Writes: []Write{{Key: "b"}}})
				must.ErrorIs(t, err, ErrRowDeleted)
				must.False(t, errors.Is(err, ErrAmbiguous))
			}
			must.Eq(t, 0, ft.row("b").Version)
		})
	}
}

// Checks that Commit returns ErrAmbiguous if an attempt may have taken effect before operation/k1 was deleted.
func TestWriterRowDeletedAfterLostReply(t *testing.T) {
	ctx := context.Background()
	ft := newFlakyTable(nil)
	calls := 0
	ft.nextAction = func() string {
		if calls++; calls == 2 {
			return "lost"
		}
		if calls == 3 {
			_, _ = ft.Memory.Commit(ctx, Transaction{Writes: []Write{{Key: "operation/k1", Delete: true}}})
		}
		return "ok"
	}
	wr := newFastWriter(ft)
	_, err := wr.Commit(ctx, Transaction{Writes: []Write{{Key: "a"}}})
	must.ErrorIs(t, err, ErrAmbiguous)
	must.ErrorIs(t, err, ErrRowDeleted)
	must.Eq(t, 1, ft.row("a").Version)
}
