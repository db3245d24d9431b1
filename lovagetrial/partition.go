package lovagetrial

import (
	"context"
	"encoding/json"
	"time"

	"lovagestack/lovageledger"
)

// linkableNodes returns the nodes with which the process can have links.
func (de *Deployment) linkableNodes(it *Instance) []string {
	out := []string{PlatformNode}
	for _, other := range de.Processes() {
		if other != it {
			out = append(out, other.node)
		}
	}
	for _, wo := range de.workers {
		out = append(out, wo.ID)
	}
	return out
}

// forEachLink calls fn with the process's node and each node with which it can have links.
func (de *Deployment) forEachLink(it *Instance, fn func(ls *links, a, b string)) {
	for _, node := range de.linkableNodes(it) {
		fn(de.links, it.node, node)
	}
}

// Isolate cuts or restores all links of the process: to peers, platform and workers.
func (de *Deployment) Isolate(it *Instance, cut bool) {
	it.faulted.Store(true)
	de.forEachLink(it, func(ls *links, a, b string) { ls.changeState(a, b, func(st *linkState) { st.cut = cut }) })
}

// Silence drops all further bytes of the existing connections of the process; new connections work.
func (de *Deployment) Silence(it *Instance) {
	it.faulted.Store(true)
	de.forEachLink(it, func(ls *links, a, b string) { ls.silence(a, b) })
}

// Delay delays the bytes on all links of the process by d in each direction; 0 ends the delay.
func (de *Deployment) Delay(it *Instance, d time.Duration) {
	it.faulted.Store(true)
	de.forEachLink(it, func(ls *links, a, b string) { ls.changeState(a, b, func(st *linkState) { st.delay = d }) })
}

// Partition cuts or restores the links of a data centre to all other data centres and to the platform.
func (de *Deployment) Partition(dataCentre string, cut bool) {
	for _, it := range de.Processes() {
		if it.DataCentre == dataCentre {
			it.faulted.Store(true)
			de.links.changeState(it.node, PlatformNode, func(st *linkState) { st.cut = cut })
			for _, other := range de.Processes() {
				if other.DataCentre != dataCentre {
					other.faulted.Store(true)
					de.links.changeState(it.node, other.node, func(st *linkState) { st.cut = cut })
				}
			}
		}
		for _, wo := range de.workers {
			if (wo.DataCentre == dataCentre) != (it.DataCentre == dataCentre) {
				de.links.changeState(it.node, wo.ID, func(st *linkState) { st.cut = cut })
			}
		}
	}
}

// cutCallers closes callers' connections to every instance, and makes the process's relay close new ones at once. If cut
// is false, it only makes the relay accept new ones again.
func (de *Deployment) cutCallers(it *Instance, cut bool) {
	if !cut {
		it.callerRelay.SetRefuse(false)
		return
	}
	it.callerRelay.SetRefuse(true)
	for _, other := range de.Processes() {
		other.faulted.Store(true)
		other.callerRelay.CloseConnections()
	}
}

// silenceCallers drops all further bytes of the existing connections of callers to every instance.
func (de *Deployment) silenceCallers() {
	for _, it := range de.Processes() {
		it.faulted.Store(true)
		it.callerRelay.Silence()
	}
}

// killWithReplicas kills the process and all processes that hold a replica of its ranges according to the table.
func (de *Deployment) killWithReplicas(it *Instance) {
	victims := map[string]bool{it.ID(): true}
	rows, err := de.platform.Memory().Scan(context.Background(), "range/")
	if err != nil {
		panic(err) // fails only if the context ends, which it does not
	}
	for _, row := range rows {
		var ro lovageledger.RangeRow
		if json.Unmarshal(row.Value, &ro) == nil && ro.Owner == it.ID() {
			victims[ro.Replica] = true
		}
	}
	for _, other := range de.Running() {
		if victims[other.ID()] {
			other.Kill()
		}
	}
	if !it.killed.Load() {
		it.Kill() // Running omits a process that is shutting down
	}
}
