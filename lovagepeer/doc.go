// Package lovagepeer carries requests between entry instances.
//
// Callers address a peer by its network address; the package manages the connections. A [Mesh] keeps at most one yamux
// session in use per pair of instances and uses it in both directions. Each session has two streams: bulk (submissions,
// asks, transfers, result copies and their responses, and all frames larger than 64 KiB) and control (everything else,
// such as heartbeats, accepts and configuration). A large transfer therefore does not delay an accept.
//
// The package does not interpret or retry requests. lovagemember tracks which instances are alive; it learns about
// sessions from [Options.SessionUp] and [Options.SessionDown].
//
// # Usage
//
//	me := lovagepeer.New(lovagepeer.Options{Instance: "kandla-1", DataCentre: "kandla", Listen: "127.0.0.1:7101"}, handler)
//	go me.Serve(ctx) // or add me to a suture supervisor
//	resp, err := me.Call(ctx, "127.0.0.1:7102", req)
//	if errors.Is(err, lovagepeer.ErrNotSent) {
//		// The request did not reach the peer's handler; it may be sent elsewhere.
//	}
package lovagepeer
