package lovagefake

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RunTimeDistribution is the log-normal distribution of a service's run times. Zero fields take the default named beside them.
type RunTimeDistribution struct {
	Median Duration `json:"median"` // 150 ms
	Sigma  float64  `json:"sigma"`  // standard deviation of the logarithm, 0.6; negative for none
	Max    Duration `json:"max"`    // 5 s
}

// draw returns the run time of a task at speed 1, which depends only on the seed and the task.
func (sr RunTimeDistribution) draw(seed uint64, task string) time.Duration {
	if sr.Median <= 0 {
		sr.Median = Duration(150 * time.Millisecond)
	}
	if sr.Sigma == 0 {
		sr.Sigma = 0.6
	}
	if sr.Max <= 0 {
		sr.Max = Duration(5 * time.Second)
	}
	rng := rand.New(rand.NewPCG(seed, xxhash.Sum64String(task)))
	d := float64(sr.Median) * math.Exp(max(sr.Sigma, 0)*rng.NormFloat64())
	return time.Duration(min(d, float64(sr.Max)))
}

func padding(n int) string { return strings.Repeat("x", n) }
