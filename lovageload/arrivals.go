package lovageload

import (
	"math/rand/v2"
	"time"
)

// arrivals returns the event times of a Poisson process with rate events per second, or rate*burst.Factor in bursts.
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

// advance returns the time at which the integral of the relative rate, starting at the time at, reaches seconds. The
// relative rate is burst.Factor during bursts and 1 otherwise. If seconds is an exponential variate divided by the base
// rate, the result is exactly the next arrival.
func advance(at time.Duration, seconds float64, burst Burst) time.Duration {
	if burst.Period <= 0 || burst.Length <= 0 {
		return at + time.Duration(seconds*float64(time.Second))
	}
	for {
		phase := at % burst.Period
		relativeRate, phaseEnd := 1.0, burst.Period-burst.Length
		if phase >= phaseEnd {
			relativeRate, phaseEnd = burst.Factor, burst.Period
		}
		remaining := (phaseEnd - phase).Seconds()
		if gained := remaining * relativeRate; gained < seconds {
			seconds -= gained
			at += phaseEnd - phase
			continue
		}
		return at + time.Duration(seconds/relativeRate*float64(time.Second))
	}
}
