package lovageadmission

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// Guards against texts whose scan takes a time that grows with the square of their size.
func TestScanIsLinear(t *testing.T) {
	scan := func(size int) time.Duration {
		text := []byte(`{"spec":"` + strings.Repeat(`\n`, size/2) + `"}`)
		shortest := time.Hour
		for range 5 {
			begin := time.Now()
			must.Eq(t, 0, ScanJob(text, "pipeline", "count").Steps)
			shortest = min(shortest, time.Since(begin))
		}
		return shortest
	}
	const factor = 32
	short, long := scan(8<<10), scan(factor*8<<10)
	test.Less(t, factor*factor/4*short, long, test.Sprintf("%s for 8 KB, %s for 256 KB", short, long))
}
