package lovagepool

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against jobs that together take more memory than the instance has for them: those of other instances, and those whose callers have
// left while their runs are being stopped.
func TestJobMemory(t *testing.T) {
	ha := newHarness(t, testWorker("w1", 32000))
	small, large := ha.newWork("s", 1, 16000).Bytes(), ha.newWork("l", 100, 1).Bytes()
	ha.po.settings.SmallJobBytes = small
	ha.po.settings.MaxJobBytes = 4 * large
	for _, name := range []string{"a", "b", "c"} {
		ha.submit(name, 100, 1)
	}
	ha.submit("d", 100, 1)
	must.Eq(t, []string{"finish d notRun"}, ha.answers())
	ha.submit("s", 1, 1)
	must.SliceEmpty(t, ha.answers())
	must.Eq(t, 3*large+small, ha.po.jobBytes)

	ha.po.Submit(ha.now, &Job{Ref: "a again", Work: ha.newWork("a", 100, 1)}) // it takes the place of the first
	must.SliceEmpty(t, ha.answers())
	for _, ref := range []string{"b", "c", "s"} {
		must.True(t, ha.po.Cancel(ha.now, ref))
	}
	must.Eq(t, 2*large, ha.po.jobBytes) // the runs of the first are being stopped
	for i := range 100 {
		ha.reportEnded("w1", fmt.Sprintf("a.0.0.%d", i), 1, RunStopped)
	}
	must.Eq(t, large, ha.po.jobBytes)
}
