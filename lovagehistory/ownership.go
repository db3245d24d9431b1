package lovagehistory

import "github.com/anishathalye/porcupine"

// holder is the holder of one epoch of a range. Holders form a linked list, latest first, that model states share.
type holder struct {
	epoch    int64
	instance string
	previous *holder
}

// CheckOwnership checks, for each range separately, that
//   - an epoch has at most one holder;
//   - epochs increase by one and only by compare-and-set;
//   - only the current holder renews a lease;
//   - an instance acts only under epochs that it has held.
func CheckOwnership(entries []Entry) error {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{(*holder)(nil)} },
		Step: adaptStep(stepOwner),
		Equal: func(a, b any) bool {
			ha, okA := a.(*holder)
			hb, okB := b.(*holder)
			for okA && okB && ha != hb {
				if ha == nil || hb == nil || ha.epoch != hb.epoch || ha.instance != hb.instance {
					return false
				}
				ha, hb = ha.previous, hb.previous
			}
			return okA && okB
		},
	}
	return checkPartitions(entries, model.ToModel(), []Kind{Acquire, Renew, OwnerAction, OwnerRead},
		func(op *Operation) string { return op.Range })
}

func (ho *holder) current() (epoch int64, instance string) {
	if ho == nil {
		return 0, ""
	}
	return ho.epoch, ho.instance
}

// hasHeld reports whether the instance has held the epoch.
func (ho *holder) hasHeld(epoch int64, instance string) bool {
	for ; ho != nil; ho = ho.previous {
		if ho.epoch == epoch {
			return ho.instance == instance
		}
	}
	return false
}

func stepOwner(ho *holder, op *Operation, out *output) []*holder {
	epoch, instance := ho.current()
	unchanged := []*holder{ho}
	unchangedIf := func(ok bool) []*holder {
		if !ok {
			return nil
		}
		return unchanged
	}
	acquired := &holder{epoch: epoch + 1, instance: op.Instance, previous: ho}
	switch {
	case op.Kind == Acquire && (!out.hasResponse || out.WriteOutcome == Indeterminate):
		if epoch != op.Epoch {
			return unchanged
		}
		return []*holder{ho, acquired}
	case op.Kind == OwnerAction:
		return unchangedIf(ho.hasHeld(op.Epoch, op.Instance)) // even without a response, because the action may have happened
	case !out.hasResponse:
		return unchanged
	case op.Kind == Acquire && out.WriteOutcome == Committed:
		if epoch != op.Epoch {
			return nil
		}
		return []*holder{acquired}
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
