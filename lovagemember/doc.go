// Package lovagemember decides which entry instances and workers are live, suspect, gone or leaving.
//
// The package exists because no single source is right: the platform's list lags and can be unreachable, heartbeats
// miss instances that were never met, and a worker's own replies are often the first to say that it is leaving. A
// [Core] merges them. It is a deterministic state machine: it reads no clock, opens no connection and starts no
// goroutine. It does not judge workers by their outcomes; that is the task of lovagedispatch.
//
// With more than a set number of instances it also decides who is the relay of a data centre, with whom sessions are kept
// up, and what summaries of a data centre hold. It does not encode or send them.
//
// # Usage
//
//	co := lovagemember.New(lovagemember.Settings{Instance: "kandla-1", DataCentre: "kandla", Address: "10.0.0.1:7101"})
//	cmds := co.Step(now, lovagemember.HeartbeatReceived{Instance: "kandla-2", DataCentre: "kandla", Address: "10.0.0.2:7101"}, nil)
//	for _, cmd := range cmds {
//		switch cmd := cmd.(type) {
//		case lovagemember.DialPeer: // mesh.Connect
//		case lovagemember.MembersChanged: // tell the other cores
//		}
//	}
package lovagemember
