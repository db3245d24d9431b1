// Package lovagetrial runs a whole deployment inside one process and checks what its callers were told.
//
// The package exists so that faults can be injected at a named step of an instance, which is not possible from outside
// a process, and so that measurements need no processes. A [Deployment] is a stand-in platform behind loopback HTTP,
// stand-in workers and real entry instances with their API servers. Links between them can be cut, silenced, delayed
// and held. A [Caller] and an [Operator] record everything that they send and get; [Check] judges these records and
// the workers' start counts by the invariants of docs/design.md. A [Cell] is one combination of step and faults.
//
// It does not replace trials with real processes: all instances share one scheduler and one clock, and a killed
// instance is a stopped one whose connections are closed first.
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
