package lovagedispatch

import (
	"fmt"
	"slices"
	"time"

	"lovagestack/lovagejob"
)

// Policy selects how workers are chosen. Central also retries refused tasks beyond the retry budget.
type Policy string

// Policies. lovageentry uses Central; the others exist for comparison and ignore other instances.
const (
	// Central: least expected completion time on all slots of all workers. One instance decides which tasks start
	// where; this instance sees all slots and mints the keys of the jobs. Another instance decides only for jobs whose
	// keys it minted itself, because the deciding instance was unreachable.
	Central Policy = "central"
	// Alone: least expected completion time on all slots of all workers.
	Alone Policy = "alone"
	// Random: a random worker with a slot not used by this instance.
	Random Policy = "random"
	// RoundRobin: the worker that got a task longest ago.
	RoundRobin Policy = "roundRobin"
	// LeastInFlight: the worker with the fewest tasks of this instance.
	LeastInFlight Policy = "leastInFlight"
)

// Settings configure a [Core]. Only those in [TunablesChanged] can change while it runs.
type Settings struct {
	Instance   string // ID of this instance
	DataCentre string // data centre of this instance
	Policy     Policy

	DefaultRunTime         time.Duration // assumed for a service without learned or declared run time
	CrossDataCentreLatency time.Duration // one-way latency to workers in another data centre, added to their cost
	Ageing                 float64       // seconds of remaining work that one second of waiting offsets
	MaxQueuedTasks         int           // bound on queued tasks per service and per team without a bound of their own
	MaxTotalTasks          int           // bound on all queued tasks of the instance
	RetryRatio             float64       // retries of refused tasks per started task of a service; no limit for Central
	RetryBurst             int           // retries allowed on top of the ratio
	RefusalBackOff         time.Duration // back-off after a worker's first refusal; doubles with each consecutive one
	MaxRefusalBackOff      time.Duration
	EjectionBackOff        time.Duration // time from ejection to the first probe; doubles with each failed probe
	MaxEjectionBackOff     time.Duration
}

// DefaultSettings returns the default settings of an instance.
func DefaultSettings(instance, dataCentre string) Settings {
	return Settings{
		Instance:   instance,
		DataCentre: dataCentre,
		Policy:     Central,

		// About the geometric mean of the stated range of run times, 50 ms to 1 s.
		DefaultRunTime:         200 * time.Millisecond,
		CrossDataCentreLatency: 1400 * time.Microsecond, // the latency that the users stated
		// A job of 350 tasks of 300 ms overtakes newly submitted single tasks after about 5 s.
		Ageing:             20,
		MaxQueuedTasks:     100_000,
		MaxTotalTasks:      1_000_000,
		RetryRatio:         0.2,
		RetryBurst:         50,
		RefusalBackOff:     5 * time.Millisecond,
		MaxRefusalBackOff:  time.Second,
		EjectionBackOff:    time.Second,
		MaxEjectionBackOff: time.Minute,
	}
}

// Validate returns all problems of the settings. A core must not be created from settings with problems.
func (se Settings) Validate() []lovagejob.Finding {
	var out []lovagejob.Finding
	add := func(field, format string, args ...any) {
		out = append(out, lovagejob.Finding{Field: field, Problem: fmt.Sprintf(format, args...)})
	}
	if !lovagejob.ValidName(se.Instance) {
		add("instance", "%q is not a name", se.Instance)
	}
	if !lovagejob.ValidName(se.DataCentre) {
		add("dataCentre", "%q is not a name", se.DataCentre)
	}
	policies := []Policy{Central, Alone, Random, RoundRobin, LeastInFlight}
	if !slices.Contains(policies, se.Policy) {
		add("policy", "%q is none of %q", se.Policy, policies)
	}
	for _, it := range []struct {
		field string
		value float64
	}{
		{"defaultRunTime", float64(se.DefaultRunTime)},
		{"maxQueuedTasks", float64(se.MaxQueuedTasks)},
		{"maxTotalTasks", float64(se.MaxTotalTasks)},
		{"retryBurst", float64(se.RetryBurst)},
		{"refusalBackOff", float64(se.RefusalBackOff)},
		{"ejectionBackOff", float64(se.EjectionBackOff)},
	} {
		if it.value <= 0 {
			add(it.field, "is not positive")
		}
	}
	if se.CrossDataCentreLatency < 0 || se.Ageing < 0 || se.RetryRatio < 0 {
		add("crossDataCentreLatency, ageing, retryRatio", "must not be negative")
	}
	for _, it := range []struct {
		field, other string
		value, least time.Duration
	}{
		{"maxRefusalBackOff", "refusalBackOff", se.MaxRefusalBackOff, se.RefusalBackOff},
		{"maxEjectionBackOff", "ejectionBackOff", se.MaxEjectionBackOff, se.EjectionBackOff},
	} {
		if it.value < it.least {
			add(it.field, "%s is shorter than %s, which is %s", it.value, it.other, it.least)
		}
	}
	return out
}
