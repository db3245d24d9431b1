// Package lovagemember tracks cluster membership: which entry instances and workers are live, suspect, gone or leaving.
//
// No single source is sufficient: the platform's list lags and can be unreachable, heartbeats do not cover instances
// that this one never contacted, and a worker's own replies are often the first to report that it is leaving. A [Core]
// merges these sources. It is a deterministic state machine: it reads no clock, opens no connection and starts no
// goroutine. It does not judge workers by the outcomes of their tasks; lovagedispatch does.
//
// Above a configured number of instances, the Core also chooses the relays of the data centres and the instances with
// which sessions are kept, and builds the summaries of data centres. It does not encode or send them.
//
// # Usage
//
//	co := lovagemember.New(lovagemember.Settings{Instance: "kandla-1", DataCentre: "kandla", Address: "10.0.0.1:7101"})
//	for _, cmd := range co.Step(now, lovagemember.HeartbeatReceived{Instance: "kandla-2", ...}, nil) {
//		switch cmd := cmd.(type) {
//		case lovagemember.DialPeer: // mesh.Connect
//		case lovagemember.MembersChanged: // pass the view to the other cores
//		}
//	}
package lovagemember
