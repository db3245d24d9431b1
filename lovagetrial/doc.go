// Package lovagetrial runs a whole deployment inside one process and checks the answers that its callers got.
//
// Inside one process, faults can be injected at a named step of an instance, which is not possible from outside, and
// measurements need no separate processes. A [Deployment] consists of a stand-in platform behind loopback
// HTTP, stand-in workers and real entry instances with their API servers. The links between them can be cut, silenced,
// delayed and held. A [Caller] and an [Operator] record all their requests and replies; [Check] compares these records
// and the workers' start counts with the invariants of docs/design.md. A [Cell] is one combination of steps and faults.
//
// The package does not replace trials with real processes: all instances share one scheduler and one clock, and to kill
// an instance, a trial closes its connections and then stops it.
//
// # Usage
//
//	de, err := lovagetrial.New(lovagetrial.Options{DataCentres: []lovagetrial.DataCentre{
//		{Name: "kandla", Instances: 2, Speeds: []float64{1, 0.5}},
//	}})
//	if err != nil {
//		return err
//	}
//	defer de.Close()
//	ca := de.NewCaller(seed)
//	keys := ca.Mint(ctx, de.Instance("kandla-1"), 1, false)
//	ca.Submit(ctx, de.Instance("kandla-2"), ca.NewJob(keys[0], false, 3, 10*time.Millisecond))
//	violations := lovagetrial.Check(de.Evidence())
package lovagetrial
