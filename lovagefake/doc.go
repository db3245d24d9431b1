// Package lovagefake provides fakes of the external systems that lovagestack uses: the users' platform and workers.
//
// Tests, the dev command and trials use the fakes over the published HTTP protocols. Faults can be switched on and off
// while the fakes run. The package is not used in production and contains no dispatcher logic.
//
// # Usage
//
//	pl := lovagefake.NewPlatform(lovageplatform.NewMemory())
//	sv := httptest.NewServer(pl) // also serves the control endpoint below /control/
//	pl.SetFaults(lovagefake.PlatformFaults{LoseReplies: 1})
//
//	wo := lovagefake.NewWorker(lovagefake.WorkerSettings{ID: "k1", DataCentre: "kandla", Slots: 8})
//	addr, err := wo.Listen("127.0.0.1:0")
//	wo.SetFaults(lovagefake.WorkerFaults{SlowdownFactor: 10})
//	starts := wo.StartCounts() // number of starts by Lovage-Task header
package lovagefake
