package lovagehistory

import "github.com/anishathalye/porcupine"

// holder is the holder of one epoch of a range. Holders form a list from the latest to the first, which states share.
type holder struct {
	epoch    int64
	instance string
	before   *holder
}

// CheckOwnership checks, for each range on its own, that an epoch has at most one holder, that epochs increase by one
// and only by compare-and-set, that a lease is renewed only by the current holder, and that nothing is done under an
// epoch by an instance that never held it.
func CheckOwnership(entries []Entry) error {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{(*holder)(nil)} },
		Step: step(stepOwner),
		Equal: func(a, b any) bool {
			ha, okA := a.(*holder)
			hb, okB := b.(*holder)
			for okA && okB && ha != hb {
				if ha == nil || hb == nil || ha.epoch != hb.epoch || ha.instance != hb.instance {
					return false
				}
				ha, hb = ha.before, hb.before
			}
			return okA && okB
		},
	}
	return check(entries, model.ToModel(), []Kind{Acquire, Renew, OwnerAction, OwnerRead},
		func(op *Operation) string { return op.Range })
}

func (ho *holder) current() (epoch int64, instance string) {
	if ho == nil {
		return 0, ""
	}
	return ho.epoch, ho.instance
}

// held reports whether the instance has held the epoch.
func (ho *holder) held(epoch int64, instance string) bool {
	for ; ho != nil; ho = ho.before {
		if ho.epoch == epoch {
			return ho.instance == instance
		}
	}
	return false
}

func stepOwner(ho *holder, op *Operation, out *output) []*holder {
	epoch, instance := ho.current()
	same := []*holder{ho}
	legal := func(ok bool) []*holder {
		if !ok {
			return nil
		}
		return same
	}
	acquired := &holder{epoch: epoch + 1, instance: op.Instance, before: ho}
	switch {
	case op.Kind == Acquire && (!out.seen || out.WriteOutcome == Indeterminate):
		if epoch != op.Epoch {
			return same
		}
		return []*holder{ho, acquired}
	case op.Kind == OwnerAction:
		return legal(ho.held(op.Epoch, op.Instance)) // whether or not a response was seen
	case !out.seen:
		return same
	case op.Kind == Acquire && out.WriteOutcome == Committed:
		if epoch != op.Epoch {
			return nil
		}
		return []*holder{acquired}
	case op.Kind == Acquire:
		return legal(epoch != op.Epoch)
	case op.Kind == Renew && out.WriteOutcome == Committed:
		return legal(epoch == op.Epoch && instance == op.Instance)
	case op.Kind == Renew:
		return legal(out.WriteOutcome == Indeterminate || epoch != op.Epoch || instance != op.Instance)
	case op.Kind == OwnerRead:
		return legal(out.Epoch == epoch && out.Instance == instance)
	}
	return nil
}
