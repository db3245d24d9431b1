package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	contactTime = 3 * time.Second // contact_ms
	cancelBound = 3 * time.Second // cancel_ms
)

// runCancelled has a client cancel its job while it runs, kills all instances and starts them again, and then lets a request with the
// same ID arrive once more. Rule UNASKED: no task of the job may start later than cancel_ms after the cancelling was acknowledged.
func runCancelled(be *bed, trouble bool) (bool, error) {
	id := newJobID()
	posted := make(chan answer, 1)
	go func() { posted <- be.post(be.instances[0], id, 4, 900, 1500) }()
	time.Sleep(300 * time.Millisecond)
	if len(be.ss.of(id)) == 0 {
		return false, fmt.Errorf("no task of the job has started: %w", errCouldNotRun)
	}
	an := be.call(http.MethodDelete, be.instances[1], id, nil, 1500)
	acked := time.Now()
	if an.status != http.StatusOK && an.status != http.StatusGone {
		return false, fmt.Errorf("the cancelling was answered with %d: %w", an.status, errCouldNotRun)
	}
	if an := <-posted; an.status != http.StatusOK {
		return false, fmt.Errorf("the job was answered with %d: %w", an.status, errCouldNotRun)
	}
	if trouble {
		for _, in := range be.instances {
			be.signal(in, syscall.SIGKILL)
		}
		for _, in := range be.instances {
			<-in.ended
		}
		time.Sleep(time.Second)
		if err := be.startAll(false); err != nil {
			return false, err
		}
	} else {
		time.Sleep(2 * time.Second)
	}
	// From here on all machines are in touch.
	time.Sleep(contactTime + 200*time.Millisecond)
	be.post(be.instances[2], id, 4, 900, 1500)
	time.Sleep(500 * time.Millisecond)
	broken := false
	for _, st := range be.ss.of(id) {
		if late := st.At.Sub(acked); late > cancelBound {
			be.re.note("a cancelled task was started", "task", st.Task, "worker", st.Worker, "afterAckMs", late.Milliseconds())
			broken = true
		}
	}
	return broken, nil
}
