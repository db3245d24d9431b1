// Package lovagetrial runs a whole deployment inside one process and checks the answers that its callers got.
//
// In one process, a trial can inject a fault at a named step of an instance, which is not possible from outside, and
// measurements need no separate processes. A [Deployment] consists of a stand-in platform behind loopback HTTP, stand-in
// workers and real entry instances with their API servers. A trial can cut, silence, delay and hold the links between
// these nodes. A [Caller] and an [Operator] record all their requests and replies. [Check] compares these records and
// the workers' start counts with the invariants of docs/design.md. A [Cell] is one combination of steps and faults.
//
// The package does not replace trials with real processes, because all instances share one scheduler and one clock. To
// kill an instance, a trial closes the instance's connections and then stops it.
//
// # Usage
//
//	de, err := lovagetrial.New(lovagetrial.Options{DataCentres: []lovagetrial.DataCentre{
//		{Name: "kandla", Instances: 2, WorkerSpeeds: []float64{1, 0.5}},
//	}})
//	if err != nil {
//		return err
//	}
//	defer de.Close()
//	ca := de.NewCaller()
//	keys, err := ca.Mint(ctx, de.Instance("kandla-1"), 1, false)
//	if err != nil {
//		return err
//	}
//	job := lovagetrial.NewJob(keys[0], false, 3, 10*time.Millisecond, deadline)
//	answer, err := ca.Submit(ctx, de.Instance("kandla-2"), job)
//	violations := lovagetrial.Check(de.Evidence())
package lovagetrial
