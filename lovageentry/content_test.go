package lovageentry

import (
	"testing"

	"github.com/shoenig/test/must"

	"lovagestack/lovageadmission"
)

// Guards against large submissions that leave no room for small ones, and against sums that go wrong.
func TestContentMemory(t *testing.T) {
	cm := contentMemory{settings: lovageadmission.Settings{JobBytes: 100 << 10, SmallRequest: 10 << 10}}
	must.True(t, cm.fits(75<<10))
	must.False(t, cm.fits(76<<10))
	cm.add(70 << 10)
	must.False(t, cm.fits(11<<10))
	must.True(t, cm.fits(10<<10))
	cm.add(10 << 10)
	cm.add(10 << 10)
	must.True(t, cm.fits(10<<10))
	cm.add(10 << 10)
	must.False(t, cm.fits(1))
	cm.remove(70 << 10)
	must.True(t, cm.fits(50<<10))
	for range 3 {
		cm.remove(10 << 10)
	}
	must.Eq(t, contentMemory{settings: cm.settings}, cm)
}
