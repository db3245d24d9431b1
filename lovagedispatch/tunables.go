package lovagedispatch

import "time"

// TunablesChanged replaces the settings that may change while the core runs. It must be given whole; zero durations
// and bounds are ignored, so that a part that was left out cannot turn a limit off.
type TunablesChanged struct {
	MaxQueuedTasks     int
	EjectionBackOff    time.Duration
	MaxEjectionBackOff time.Duration
}

func (TunablesChanged) isEvent() {}

func (co *Core) tunablesChanged(ev TunablesChanged) {
	setPositive(&co.se.MaxQueuedTasks, ev.MaxQueuedTasks)
	setPositive(&co.se.EjectionBackOff, ev.EjectionBackOff)
	setPositive(&co.se.MaxEjectionBackOff, ev.MaxEjectionBackOff)
}

func setPositive[T int | time.Duration](field *T, value T) {
	if value > 0 {
		*field = value
	}
}
