package lovagedispatch

import "time"

// TunablesChanged replaces the settings that may change while the core runs. It must be given whole; zero durations
// and bounds are ignored, so that a part that was left out cannot turn a limit off.
type TunablesChanged struct {
	MaxQueuedTasks     int
	EjectionBackOff    time.Duration
	MaxEjectionBackOff time.Duration
	Lend               bool // false: the instance neither borrows nor lends; loans made before end as agreed
	LoanTerm           time.Duration
	MaxLoanSlots       int
}

func (TunablesChanged) isEvent() {}

func (co *Core) tunablesChanged(ev TunablesChanged) {
	setPositive(&co.se.MaxQueuedTasks, ev.MaxQueuedTasks)
	setPositive(&co.se.EjectionBackOff, ev.EjectionBackOff)
	setPositive(&co.se.MaxEjectionBackOff, ev.MaxEjectionBackOff)
	setPositive(&co.se.LoanTerm, ev.LoanTerm)
	setPositive(&co.se.MaxLoanSlots, ev.MaxLoanSlots)
	// Only the two policies that differ in nothing but lending can be exchanged; the others serve comparison.
	switch {
	case co.se.Policy == Lending && !ev.Lend:
		co.se.Policy = Shares
	case co.se.Policy == Shares && ev.Lend && co.mayLend:
		co.se.Policy = Lending
	}
}

func setPositive[T int | time.Duration](field *T, value T) {
	if value > 0 {
		*field = value
	}
}
