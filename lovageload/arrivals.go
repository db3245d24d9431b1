package lovageload

import (
	"math/rand/v2"
	"time"
)

// arrivals returns the event times of a Poisson process. The rate, in events per second, is multiplied by burst.Factor
// during bursts.
func arrivals(rng *rand.Rand, rate float64, burst Burst, duration time.Duration) []time.Duration {
	var out []time.Duration
	for at := time.Duration(0); ; {
		at = advance(at, rng.ExpFloat64()/rate, burst)
		if at >= duration {
			return out
		}
		out = append(out, at)
	}
}

// advance returns the time at which the integral of the relative rate, taken from at, reaches seconds. The relative rate
// is burst.Factor during bursts and 1 otherwise. With an exponential variate divided by the base rate as seconds, the
// result is an exact arrival of the process.
func advance(at time.Duration, seconds float64, burst Burst) time.Duration {
	if burst.Period <= 0 || burst.Length <= 0 {
		return at + time.Duration(seconds*float64(time.Second))
	}
	for {
		phase := at % burst.Period
		relative, end := 1.0, burst.Period-burst.Length
		if phase >= end {
			relative, end = burst.Factor, burst.Period
		}
		span := (end - phase).Seconds()
		if available := span * relative; available < seconds {
			seconds -= available
			at += end - phase
			continue
		}
		return at + time.Duration(seconds/relative*float64(time.Second))
	}
}
