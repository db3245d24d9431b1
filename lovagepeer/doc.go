// Package lovagepeer carries requests between entry instances.
//
// Callers address a peer by its network address; the package manages the connections. A [Mesh] keeps at most one yamux
// session in use per pair of instances and uses it in both directions. Each session has two streams: control
// (heartbeats, accepts, slots, configuration) and bulk (submissions, answers, transfers, result copies), so that a
// large transfer does not delay an accept. Frames larger than 64 KiB always use the bulk stream.
//
// The package does not interpret or retry requests, and does not track which instances are alive. Liveness is tracked
// by lovagemember, which learns about sessions from [Options.SessionUp] and [Options.SessionDown].
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
