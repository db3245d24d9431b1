package lovagefake

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RunTimeDistribution is the log-normal distribution of a service's run times. Zero fields take the default in their
// comment.
type RunTimeDistribution struct {
	Median Duration `json:"median"` // median run time; default 150 ms
	Sigma  float64  `json:"sigma"`  // standard deviation of the logarithm; default 0.6; negative for none
	Max    Duration `json:"max"`    // maximum run time; default 5 s
}

// sample returns the run time of a task at speed 1. The run time depends only on rd, the seed and the task.
func (rd RunTimeDistribution) sample(seed uint64, task string) time.Duration {
	if rd.Median <= 0 {
		rd.Median = Duration(150 * time.Millisecond)
	}
	if rd.Sigma == 0 {
		rd.Sigma = 0.6
	}
	if rd.Max <= 0 {
		rd.Max = Duration(5 * time.Second)
	}
	rng := rand.New(rand.NewPCG(seed, xxhash.Sum64String(task)))
	d := float64(rd.Median) * math.Exp(max(rd.Sigma, 0)*rng.NormFloat64())
	return time.Duration(min(d, float64(rd.Max)))
}

func padding(n int) string { return strings.Repeat("x", n) }
