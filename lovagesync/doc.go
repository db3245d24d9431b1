// Package lovagesync replicates the resources to this instance and commits operators' changes.
//
// An accepted change is in force on every reachable instance within seconds and is never reverted, whatever happens to
// instances, the table and their connections. Changes come from two sources, the table and peers; the replica advances
// only by the change that follows its revision or by a later snapshot. The package does not interpret resources;
// lovageresource and its readers do.
//
// # Usage
//
//	sy := lovagesync.New(lovagesync.DefaultSettings("kandla-1"), lovagesync.Dependencies{
//		Table: client, ObjectStore: client, Writer: writer, Peers: mesh, Store: store, Log: log,
//	})
//	supervisor.Add(sy)                     // Serve keeps the store current until its context ends
//	res, err := sy.Handle(ctx, from, req)  // for ConfigDelta and ConfigAsk from peers
//	sy.ObserveRevision("kandla-2", 812)    // for each heartbeat
//	result := sy.Put(ctx, resource)        // for an operator
package lovagesync
