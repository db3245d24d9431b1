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

// flakyTable loses, drops and delays commits as told by next.
type flakyTable struct {
	*Memory
	next    func() string
	held    []Transaction  // accepted, to be applied later
	applied map[string]int // operation ID to number of times it took effect
}

func newFlakyTable(next func() string) *flakyTable {
	return &flakyTable{Memory: NewMemory(), next: next, applied: map[string]int{}}
}

func (ta *flakyTable) apply(ctx context.Context, tx Transaction) (CommitResult, error) {
	res, err := ta.Memory.Commit(ctx, tx)
	if err == nil && res.Committed {
		ta.applied[tx.OperationID]++
	}
	return res, err
}

func (ta *flakyTable) landOne(i int) {
	tx := ta.held[i]
	ta.held = append(ta.held[:i:i], ta.held[i+1:]...)
	_, _ = ta.apply(context.Background(), tx)
}

func (ta *flakyTable) Commit(ctx context.Context, tx Transaction) (CommitResult, error) {
	fail := func(effect Effect) (CommitResult, error) {
		return CommitResult{}, &Error{Operation: "commit", Effect: effect, Err: errors.New("injected")}
	}
	switch action := ta.next(); action {
	case "lost":
		_, _ = ta.apply(ctx, tx)
		return fail(EffectAmbiguous)
	case "dropped":
		return fail(EffectAmbiguous)
	case "held":
		ta.held = append(ta.held, tx)
		return fail(EffectAmbiguous)
	case "notSent":
		return fail(EffectNotSent)
	case "refused":
		return fail(EffectRefused)
	default:
		return ta.apply(ctx, tx)
	}
}

func fastWriter(ta Table) *Writer {
	return NewWriter(ta, "k1", WriterSettings{MinBackoff: time.Microsecond, MaxBackoff: time.Microsecond})
}

// Guards against a writer that misreports a transaction or lets it take effect twice, or late after it said that it
// had none, whatever happens to requests and replies.
func TestWriterTellsTheTruth(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var ctx context.Context
		var cancel context.CancelFunc
		renew := func() { ctx, cancel = context.WithCancel(context.Background()) }
		renew()
		attempts := 0
		ta := newFlakyTable(nil)
		ta.next = func() string {
			if attempts++; attempts > 30 {
				return "ok"
			}
			if len(ta.held) > 0 && rapid.Bool().Draw(rt, "land") {
				ta.landOne(rapid.IntRange(0, len(ta.held)-1).Draw(rt, "which"))
			}
			if rapid.IntRange(0, 9).Draw(rt, "end") == 0 {
				cancel()
			}
			// The row that makes some transactions conflict comes and goes.
			_, _ = ta.Memory.Commit(context.Background(), Transaction{
				Writes: []Write{{Key: "gate", Delete: rapid.Bool().Draw(rt, "open")}},
			})
			return rapid.SampledFrom([]string{"ok", "ok", "lost", "dropped", "held", "notSent", "refused"}).Draw(rt, "action")
		}
		wr := fastWriter(ta)
		for i := range rapid.IntRange(1, 6).Draw(rt, "transactions") {
			id := fmt.Sprintf("op-%d", i)
			tx := Transaction{OperationID: id, Writes: []Write{{Key: id}}}
			if rapid.Bool().Draw(rt, "gated") {
				tx.Checks = []Check{{Key: "gate"}}
			}
			res, err := wr.Commit(ctx, tx)
			switch {
			case errors.Is(err, ErrAmbiguous):
				renew()
				attempts = 31
				settled, committed, err := wr.Settle(ctx)
				must.NoError(rt, err)
				must.True(rt, settled == id)
				must.Eq(rt, committed, ta.applied[id] == 1)
				attempts = 0
			case err == nil && res.Committed:
				must.Eq(rt, 1, ta.applied[id])
			default:
				must.Eq(rt, 0, ta.applied[id])
				if ctx.Err() != nil {
					renew()
				}
			}
			before := ta.applied[id]
			_, _ = ta.Memory.Commit(ctx, Transaction{Writes: []Write{{Key: "gate", Delete: true}}})
			for len(ta.held) > 0 {
				ta.landOne(0)
			}
			must.Eq(rt, before, ta.applied[id], must.Sprint("a delayed attempt took effect"))
		}
	})
}

func script(actions ...string) func() string {
	return func() string {
		if len(actions) == 0 {
			return "ok"
		}
		action := actions[0]
		actions = actions[1:]
		return action
	}
}

// Guards against a wrong version after a lost reply, and against the operation row showing in results.
func TestWriterRecoversVersions(t *testing.T) {
	ctx := context.Background()
	ta := newFlakyTable(script("ok", "ok", "lost")) // the first creates the row
	wr := fastWriter(ta)
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

// Guards against applying a transaction again when its caller repeats it after an ambiguous end.
func TestWriterRepeatAfterAmbiguousEnd(t *testing.T) {
	for _, action := range []string{"lost", "held", "dropped"} {
		t.Run(action, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			ta := newFlakyTable(script())
			wr := fastWriter(ta)
			_, err := wr.Commit(ctx, Transaction{OperationID: "before"}) // creates the row
			must.NoError(t, err)
			ta.next = func() string { cancel(); return action }
			tx := Transaction{OperationID: "op", Writes: []Write{{Key: "a"}}}
			_, err = wr.Commit(ctx, tx)
			must.ErrorIs(t, err, ErrAmbiguous)
			must.False(t, errors.Is(err, ErrNotSent))
			ta.next = script()
			res, err := wr.Commit(context.Background(), tx)
			must.NoError(t, err)
			must.True(t, res.Committed)
			for len(ta.held) > 0 {
				ta.landOne(0)
			}
			must.Eq(t, 1, ta.applied["op"])
		})
	}
}

// Guards against reporting a definite end when a second process under the same name has overwritten the evidence.
func TestWriterSharedName(t *testing.T) {
	ctx := context.Background()
	ta := newFlakyTable(nil)
	one, two := fastWriter(ta), fastWriter(ta)
	ta.next = script()
	for _, wr := range []*Writer{one, two, one} {
		res, err := wr.Commit(ctx, Transaction{Writes: []Write{{Key: "a"}}})
		must.NoError(t, err)
		must.True(t, res.Committed)
	}
	calls := 0
	ta.next = func() string {
		if calls++; calls != 1 {
			return "ok"
		}
		version := int64(4) // created by one, then written three times
		for range 2 {
			res, err := ta.Memory.Commit(ctx, Transaction{
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

// Guards against a delayed first transaction that does more than create the row, against a delayed later one that takes
// effect after the row was deleted, and against a writer that goes on after that.
func TestWriterRowDeleted(t *testing.T) {
	ctx := context.Background()
	deleteRow := func(ta *flakyTable) {
		_, err := ta.Memory.Commit(ctx, Transaction{Writes: []Write{{Key: "operation/k1", Delete: true}}})
		must.NoError(t, err)
	}
	for _, late := range []string{"first", "later", "none"} {
		t.Run(late, func(t *testing.T) {
			script := map[string][]string{
				"first": {"held", "ok", "ok"}, "later": {"ok", "held", "ok", "ok"}, "none": {"ok", "ok"},
			}[late]
			ta := newFlakyTable(nil)
			ta.next = func() string {
				if len(script) == 0 {
					return "ok"
				}
				action := script[0]
				script = script[1:]
				return action
			}
			wr := fastWriter(ta)
			for i := range 3 {
				res, err := wr.Commit(ctx, Transaction{Writes: []Write{{Key: fmt.Sprintf("a%d", i)}}})
				must.NoError(t, err)
				must.True(t, res.Committed)
			}
			deleteRow(ta)
			before := len(ta.rows)
			for len(ta.held) > 0 {
				ta.landOne(0)
			}
			row := ta.row("operation/k1")
			must.Eq(t, late == "first", row.Version == 1, must.Sprint("only a first transaction creates the row"))
			delete(ta.rows, "operation/k1")
			must.MapLen(t, before, ta.rows)
			if late == "first" {
				ta.rows["operation/k1"] = row
			}
			for range 2 {
				_, err := wr.Commit(ctx, Transaction{Writes: []Write{{Key: "b"}}})
				must.ErrorIs(t, err, ErrRowDeleted)
				must.False(t, errors.Is(err, ErrAmbiguous))
			}
			must.Eq(t, 0, ta.row("b").Version)
		})
	}
}

// Guards against a definite end of a transaction whose attempt may have taken effect before the row was deleted.
func TestWriterRowDeletedMeanwhile(t *testing.T) {
	ctx := context.Background()
	ta := newFlakyTable(nil)
	calls := 0
	ta.next = func() string {
		if calls++; calls == 2 {
			return "lost"
		}
		if calls == 3 {
			_, _ = ta.Memory.Commit(ctx, Transaction{Writes: []Write{{Key: "operation/k1", Delete: true}}})
		}
		return "ok"
	}
	wr := fastWriter(ta)
	_, err := wr.Commit(ctx, Transaction{Writes: []Write{{Key: "a"}}})
	must.ErrorIs(t, err, ErrAmbiguous)
	must.ErrorIs(t, err, ErrRowDeleted)
	must.Eq(t, 1, ta.row("a").Version)
}
