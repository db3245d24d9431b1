package lovagehistory

import "github.com/anishathalye/porcupine"

// epochOwner is the owner of a range in one epoch. Owners form a linked list, latest first, that model states share.
type epochOwner struct {
	epoch    int64
	instance string
	previous *epochOwner
}

// CheckOwnership checks, for each range separately, that
//   - an epoch has at most one owner;
//   - epochs increase by one and only by compare-and-set;
//   - only the current owner renews a lease;
//   - an instance acts only under epochs in which it was the owner.
func CheckOwnership(entries []Entry) error {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{(*epochOwner)(nil)} },
		Step: adaptStep(stepOwner),
		Equal: func(a, b any) bool {
			ea, okA := a.(*epochOwner)
			eb, okB := b.(*epochOwner)
			for okA && okB && ea != eb {
				if ea == nil || eb == nil || ea.epoch != eb.epoch || ea.instance != eb.instance {
					return false
				}
				ea, eb = ea.previous, eb.previous
			}
			return okA && okB
		},
	}
	return checkPartitions(entries, model.ToModel(), []Kind{Acquire, Renew, OwnerAction, OwnerRead},
		func(op *Operation) string { return op.Range })
}

func (eo *epochOwner) current() (epoch int64, instance string) {
	if eo == nil {
		return 0, ""
	}
	return eo.epoch, eo.instance
}

// hasOwned reports whether the instance was the owner in the epoch.
func (eo *epochOwner) hasOwned(epoch int64, instance string) bool {
	for ; eo != nil; eo = eo.previous {
		if eo.epoch == epoch {
			return eo.instance == instance
		}
	}
	return false
}

func stepOwner(eo *epochOwner, op *Operation, out *output) []*epochOwner {
	epoch, instance := eo.current()
	unchanged := []*epochOwner{eo}
	unchangedIf := func(ok bool) []*epochOwner {
		if !ok {
			return nil
		}
		return unchanged
	}
	acquired := &epochOwner{epoch: epoch + 1, instance: op.Instance, previous: eo}
	switch {
	case op.Kind == Acquire && (!out.hasResponse || out.WriteOutcome == Indeterminate):
		if epoch != op.Epoch {
			return unchanged
		}
		return []*epochOwner{eo, acquired}
	case op.Kind == OwnerAction:
		return unchangedIf(eo.hasOwned(op.Epoch, op.Instance)) // even without a response, because the action may have happened
	case !out.hasResponse:
		return unchanged
	case op.Kind == Acquire && out.WriteOutcome == Committed:
		if epoch != op.Epoch {
			return nil
		}
		return []*epochOwner{acquired}
	case op.Kind == Acquire:
		return unchangedIf(epoch != op.Epoch)
	case op.Kind == Renew && out.WriteOutcome == Committed:
		return unchangedIf(epoch == op.Epoch && instance == op.Instance)
	case op.Kind == Renew:
		return unchangedIf(out.WriteOutcome == Indeterminate || epoch != op.Epoch || instance != op.Instance)
	case op.Kind == OwnerRead:
		return unchangedIf(out.Epoch == epoch && out.Instance == instance)
	}
	return nil
}
