// Package lovagesync keeps one instance's copy of the resources current and commits operators' changes.
//
// The package exists so that an accepted change is in force on every reachable instance within seconds and is never
// reverted, whatever happens to instances, the table and their connections. Changes come from two sources, the table
// and peers; a copy is only ever advanced by the change that follows it or by a later snapshot. The package does not
// interpret resources, that is the business of lovageresource and its readers.
//
// # Usage
//
//	ke := lovagesync.New(lovagesync.DefaultSettings("kandla-1"), lovagesync.Parts{
//		Table: client, Objects: client, Writer: writer, Peers: mesh, Store: store, Log: log,
//	})
//	supervisor.Add(ke)                     // Serve keeps the store current until its context ends
//	res, err := ke.Handle(ctx, from, req)  // for ConfigDelta and ConfigAsk from peers
//	ke.Reported("kandla-2", 812)           // for each heartbeat
//	result := ke.Put(ctx, resource)        // for an operator
package lovagesync
