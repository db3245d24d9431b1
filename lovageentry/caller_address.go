package lovageentry

import (
	"sync"

	"lovagestack/lovagejob"
)

// callerDirectory holds the caller API addresses of other instances, for the goroutines that serve requests.
type callerDirectory struct {
	mu        sync.RWMutex
	addresses map[string]string // caller API address by instance ID, without instances that are gone
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

// Advertise replaces the caller API address of the settings, which is advertised to callers. It must be called before
// Serve. It is for servers whose port is chosen when they start to listen.
func (in *Instance) Advertise(callerAddress string) { in.callerAddress = callerAddress }

// CallerAddress returns the advertised caller API address, or "" if there is none.
func (in *Instance) CallerAddress() string { return in.callerAddress }

// setOwnerAddress adds the owner's caller API address to an answer from the owner. An answer from the replica gets no
// address, so that callers do not turn to an unreachable owner.
func (in *Instance) setOwnerAddress(an *lovagejob.Answer, ta forwardTarget) {
	if !ta.isOwner {
		return
	}
	if an.OwnerAddress = in.callerDirectory.get(ta.id); an.OwnerAddress != "" {
		in.counts.ownersNamed.Inc(1)
	}
}
