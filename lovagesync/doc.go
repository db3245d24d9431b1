// Package lovagesync replicates the resources to this instance and commits operators' changes.
//
// An accepted change is in force on every reachable instance within seconds, and faults of instances, of the table or of
// connections never revert it. The store receives changes from two sources, the table and peers. The store
// advances only by the change that follows its revision or by a later snapshot. The package does not interpret resources.
//
// # Usage
//
//	sy := lovagesync.New(lovagesync.DefaultSettings("kandla-1"), lovagesync.Dependencies{
//		Table: client, ObjectStore: client, Writer: writer, Peers: mesh, Store: store, Log: log,
//	})
//	supervisor.Add(sy)                     // Serve keeps the store current until its context ends
//	res, err := sy.Handle(ctx, from, req)  // for ConfigDelta and ConfigAsk from peers
//	sy.ObserveRevision("kandla-2", 812)    // for each heartbeat from a peer
//	result := sy.Put(ctx, resource)        // for a change by an operator
package lovagesync
