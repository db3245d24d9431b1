// Package lovagefake holds stand-ins for what lovagestack runs against: the users' platform and their workers.
//
// The package exists so that tests, the dev command and trials meet the published HTTP protocols, with faults that can
// be switched on and off while everything runs. It takes no part in production and contains no dispatcher logic.
//
// # Usage
//
//	pl := lovagefake.NewPlatform(lovageplatform.NewMemory())
//	sv := httptest.NewServer(pl) // also answers the control endpoint below /control/
//	pl.SetFaults(lovagefake.PlatformFaults{LoseReplies: 1})
//
//	wo := lovagefake.NewWorker(lovagefake.WorkerSettings{ID: "k1", DataCentre: "kandla", Slots: 8})
//	addr, err := wo.Listen("127.0.0.1:0")
//	wo.SetFaults(lovagefake.WorkerFaults{SlowdownFactor: 10})
//	starts := wo.StartCounts() // task header to number of starts
package lovagefake
