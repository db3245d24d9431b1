package lovageentry

import (
	"sync"

	"lovagestack/lovagejob"
)

// callerDirectory holds the addresses of the caller APIs of other instances, for traffic goroutines.
type callerDirectory struct {
	mu        sync.RWMutex
	addresses map[string]string // by instance ID, without instances that are gone
}

func (cd *callerDirectory) set(addresses map[string]string) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	cd.addresses = addresses
}

func (cd *callerDirectory) get(id string) string {
	cd.mu.RLock()
	defer cd.mu.RUnlock()
	return cd.addresses[id]
}

// Advertise sets the address of the caller API that is advertised to callers, in place of that of the settings. It is
// called before Serve, for servers whose port is chosen when they start to listen.
func (in *Instance) Advertise(callerAddress string) { in.callerAddress = callerAddress }

// CallerAddress returns the address of the caller API that is advertised to callers, or "" if there is none.
func (in *Instance) CallerAddress() string { return in.callerAddress }

// setOwnerAddress adds the caller address of the owner to an answer that the owner gave. An answer of the replica names
// nobody, so that callers do not turn to an owner that could not be reached.
func (in *Instance) setOwnerAddress(an *lovagejob.Answer, ta target) {
	if !ta.owner {
		return
	}
	if an.OwnerAddress = in.callers.get(ta.id); an.OwnerAddress != "" {
		in.counts.ownersNamed.Inc(1)
	}
}
