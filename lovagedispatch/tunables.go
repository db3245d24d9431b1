package lovagedispatch

import "time"

// TunablesChanged replaces the settings that may change while the core runs. All fields must be set; those that are not
// positive are ignored, so that a missing field cannot turn a limit off.
type TunablesChanged struct {
	MaxQueuedTasks     int
	EjectionBackOff    time.Duration
	MaxEjectionBackOff time.Duration
}

func (TunablesChanged) isEvent() {}

func (co *Core) tunablesChanged(ev TunablesChanged) {
	setPositive(&co.settings.MaxQueuedTasks, ev.MaxQueuedTasks)
	setPositive(&co.settings.EjectionBackOff, ev.EjectionBackOff)
	setPositive(&co.settings.MaxEjectionBackOff, ev.MaxEjectionBackOff)
}

func setPositive[T int | time.Duration](field *T, value T) {
	if value > 0 {
		*field = value
	}
}
