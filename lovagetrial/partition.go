package lovagetrial

import "time"

// nodes returns the nodes that the process can have links to.
func (de *Deployment) nodes(it *Instance) []string {
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

// eachLink calls fn for the process and each node that it can have links to.
func (de *Deployment) eachLink(it *Instance, fn func(ls *links, a, b string)) {
	for _, node := range de.nodes(it) {
		fn(de.links, it.node, node)
	}
}

// Isolate cuts or restores all links of the process: to peers, platform and workers.
func (de *Deployment) Isolate(it *Instance, cut bool) {
	it.faulted.Store(true)
	de.eachLink(it, func(ls *links, a, b string) { ls.change(a, b, func(st *linkState) { st.cut = cut }) })
}

// Silence drops all further bytes of the existing connections of the process; new connections work.
func (de *Deployment) Silence(it *Instance) {
	it.faulted.Store(true)
	de.eachLink(it, func(ls *links, a, b string) { ls.silence(a, b) })
}

// Delay delays the bytes on all links of the process by d in each direction; 0 ends the delay.
func (de *Deployment) Delay(it *Instance, d time.Duration) {
	it.faulted.Store(true)
	de.eachLink(it, func(ls *links, a, b string) { ls.change(a, b, func(st *linkState) { st.delay = d }) })
}

// Partition cuts or restores the links between a data centre and all others, and between it and the platform.
func (de *Deployment) Partition(dataCentre string, cut bool) {
	for _, it := range de.Processes() {
		if it.DataCentre == dataCentre {
			it.faulted.Store(true)
			de.links.change(it.node, PlatformNode, func(st *linkState) { st.cut = cut })
			for _, other := range de.Processes() {
				if other.DataCentre != dataCentre {
					other.faulted.Store(true)
					de.links.change(it.node, other.node, func(st *linkState) { st.cut = cut })
				}
			}
		}
		for _, wo := range de.workers {
			if (wo.DataCentre == dataCentre) != (it.DataCentre == dataCentre) {
				de.links.change(it.node, wo.ID, func(st *linkState) { st.cut = cut })
			}
		}
	}
}
