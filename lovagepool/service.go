package lovagepool

import (
	"slices"
	"time"
)

// The configuration names the service whose workers run the tasks of a queue. It may change while a job waits, on its way to the owner
// of the workers or between two of its steps, so each start follows the newest configuration that is known here.

// SetServices sets the service of each queue, by the configuration of the given version, for all further starts of tasks. A job whose own
// configuration is newer keeps its service, and so does one whose queue has been removed. Tasks that run go on.
func (po *Pool) SetServices(now time.Time, version int64, services map[string]string) {
	if version <= po.configVersion {
		return
	}
	po.configVersion, po.services = version, services
	for _, jo := range slices.Clone(po.jobList) {
		if jo.ended || jo.Offloaded != nil || !po.updateService(now, jo) {
			continue
		}
		if jo.possibleStarts == 0 && !po.fitsAnyWorker(jo) && !po.AwaitsEntries() {
			po.refuseUnfit(jo)
		}
	}
}

// presentService returns the service whose workers get the tasks of a job.
func (po *Pool) presentService(jo *Job) string {
	if service := po.services[jo.Work.Queue]; service != "" && po.configVersion > jo.Work.ConfigVersion {
		return service
	}
	return jo.Work.Service
}

// updateService gives a job the present service of its queue. It reports whether that is another one.
func (po *Pool) updateService(now time.Time, jo *Job) bool {
	service := po.presentService(jo)
	if service == jo.Work.Service {
		return false
	}
	po.recordDecision(Decision{
		Kind: "serviceChanged", Job: jo.Work.ID, Ref: jo.Ref, Reason: "the configuration names another service for the queue: " + service,
		Age: now.Sub(jo.Work.Arrived),
	})
	wo := *jo.Work // the submitter reads the original
	wo.Service, wo.ConfigVersion = service, po.configVersion
	jo.Work = &wo
	po.needsSchedule = true
	return true
}
