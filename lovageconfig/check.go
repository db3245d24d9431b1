package lovageconfig

import (
	"net/netip"
	"slices"
	"time"

	"lovagestack/lovagejob"
)

// checker validates decoded settings. It reports at most one finding per field.
type checker struct {
	doc            *Document
	reportedFields map[string]bool
	findings       []Finding
}

func checkSettings(doc *Document, se *Settings, decodeFindings []Finding) []Finding {
	ch := &checker{doc: doc, reportedFields: map[string]bool{}}
	for _, fi := range decodeFindings {
		ch.reportedFields[fi.Field] = true
	}
	ch.checkNames(se)
	ch.checkAddresses(se)
	ch.checkLimits(&se.Limits)
	ch.checkDurations(se)
	if se.Trace.Ratio < 0 || se.Trace.Ratio > 1 {
		ch.addFinding("trace.ratio", "%v is not between 0 and 1", se.Trace.Ratio)
	}
	if se.Trace.OTLP.IsValid() && se.Trace.File != "" {
		ch.addFinding("trace.file", "clashes with trace.otlp; set one of them")
	}
	if levels := []string{"debug", "info", "warn", "error"}; !slices.Contains(levels, se.Log.Level) {
		ch.addFinding("log.level", "%q is not one of %q", se.Log.Level, levels)
	}
	return ch.findings
}

func (ch *checker) addFinding(field, format string, args ...any) {
	if ch.reportedFields[field] {
		return
	}
	ch.reportedFields[field] = true
	ch.findings = append(ch.findings, ch.doc.Finding(field, format, args...))
}

func (ch *checker) checkNames(se *Settings) {
	for _, it := range []struct{ field, value string }{{"id", se.ID}, {"dataCentre", se.DataCentre}} {
		switch {
		case !ch.doc.Has(it.field):
			ch.addFinding(it.field, "is missing")
		case !lovagejob.ValidName(it.value):
			ch.addFinding(it.field, "%q is not a name of 1 to 48 lower-case letters, digits and inner hyphens", it.value)
		}
	}
}

func (ch *checker) checkAddresses(se *Settings) {
	listen := []struct {
		field string
		value netip.AddrPort
	}{
		{"addresses.caller", se.Addresses.Caller},
		{"addresses.operator", se.Addresses.Operator},
		{"addresses.peer", se.Addresses.Peer},
	}
	for i, it := range listen {
		switch {
		case !ch.doc.Has(it.field):
			ch.addFinding(it.field, "is missing")
			continue
		case it.value.Port() == 0:
			ch.addFinding(it.field, "port 0 cannot be reached by others")
		}
		for _, other := range listen[:i] {
			if overlaps(it.value, other.value) {
				ch.addFinding(it.field, "%s clashes with %s, which is %s", it.value, other.field, other.value)
			}
		}
	}
	if se.Addresses.Peer.IsValid() && se.Addresses.Peer.Addr().IsUnspecified() {
		ch.addFinding("addresses.peer", "%s cannot be given to peers; it needs the instance's own IP address", se.Addresses.Peer)
	}
	if ad := se.Advertise.Caller; ad.IsValid() && !ad.Addr().IsUnspecified() {
		ch.checkRemoteAddress("advertise.caller", ad)
		for _, it := range listen[1:] { // otherwise callers would send jobs to the operator or peer address
			if ad == it.value {
				ch.addFinding("advertise.caller", "%s is %s; callers need the caller API", ad, it.field)
			}
		}
	}
	if len(se.Platform.Addresses) == 0 {
		ch.addFinding("platform.addresses", "needs at least one address")
	}
	ch.checkRemoteAddresses("platform.addresses", se.Platform.Addresses)
	ch.checkRemoteAddresses("peers.seeds", se.Peers.Seeds)
	if se.Trace.OTLP.IsValid() {
		ch.checkRemoteAddress("trace.otlp", se.Trace.OTLP)
	}
}

// checkRemoteAddresses checks addresses to connect to and rejects duplicates.
func (ch *checker) checkRemoteAddresses(field string, list []netip.AddrPort) {
	for i, ad := range list {
		ch.checkRemoteAddress(indexPath(field, i), ad)
		if slices.Contains(list[:i], ad) {
			ch.addFinding(indexPath(field, i), "%s occurs twice", ad)
		}
	}
}

func (ch *checker) checkRemoteAddress(field string, ad netip.AddrPort) {
	if ad.Port() == 0 || ad.Addr().IsUnspecified() {
		ch.addFinding(field, "%s cannot be connected to", ad)
	}
}

// overlaps reports whether two listeners would bind the same port on a common IP address.
func overlaps(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (ch *checker) checkLimits(li *Limits) {
	for _, it := range []struct {
		field      string
		value, max int64
	}{
		{"limits.tasksPerJob", int64(li.TasksPerJob), 1_000_000},
		{"limits.payloadBytes", int64(li.PayloadBytes), 1 << 30},
		{"limits.bodyBytes", li.BodyBytes, 1 << 32},
		{"limits.queuedTasks", int64(li.QueuedTasks), 1 << 30},
		{"limits.queuedJobs", int64(li.QueuedJobs), 1 << 30},
		{"limits.records", int64(li.Records), 1 << 30},
		{"limits.callerRequests", int64(li.CallerRequests), 1 << 30},
		{"limits.operatorRequests", int64(li.OperatorRequests), 1 << 30},
		{"limits.memoryMB", li.MemoryMB, 1 << 30},
		{"limits.maxFiles", int64(li.MaxFiles), 1 << 30},
	} {
		if it.value < 1 || it.value > it.max {
			ch.addFinding(it.field, "%d is not between 1 and %d", it.value, it.max)
		}
	}
	if int64(li.PayloadBytes) > li.BodyBytes && !ch.reportedFields["limits.bodyBytes"] {
		ch.addFinding("limits.payloadBytes", "%d is more than limits.bodyBytes, which is %d", li.PayloadBytes, li.BodyBytes)
	}
	if li.TasksPerJob > li.QueuedTasks && !ch.reportedFields["limits.queuedTasks"] {
		ch.addFinding("limits.tasksPerJob", "%d is more than limits.queuedTasks, which is %d", li.TasksPerJob, li.QueuedTasks)
	}
}

// maxMeshInstances is the maximum of heartbeat.meshInstances. A session takes about 100 KiB, so 1,000 sessions already
// exceed the memory that an instance may use for control.
const maxMeshInstances = 1000

func (ch *checker) checkDurations(se *Settings) {
	for _, it := range []struct {
		field    string
		value    time.Duration
		min, max time.Duration
	}{
		{"platform.timeout", se.Platform.Timeout, time.Millisecond, time.Minute},
		{"limits.maxDeadline", se.Limits.MaxDeadline, time.Millisecond, 15 * time.Minute}, // maximum: lifetime of a key
		{"lease.ttl", se.Lease.TTL, 100 * time.Millisecond, 10 * time.Minute},
		{"lease.renewal", se.Lease.Renewal, 10 * time.Millisecond, 10 * time.Minute},
		{"heartbeat.interval", se.Heartbeat.Interval, 10 * time.Millisecond, time.Minute},
		{"heartbeat.suspect", se.Heartbeat.Suspect, 10 * time.Millisecond, 10 * time.Minute},
		{"heartbeat.gone", se.Heartbeat.Gone, 10 * time.Millisecond, 10 * time.Minute},
		{"shutdown.balancerLag", se.Shutdown.BalancerLag, 0, time.Hour},
		{"shutdown.deadline", se.Shutdown.Deadline, 0, 24 * time.Hour},
	} {
		if it.value < it.min || it.value > it.max {
			ch.addFinding(it.field, "%s is not between %s and %s", it.value, it.min, it.max)
		}
	}
	if n := se.Heartbeat.MeshInstances; n < 1 || n > maxMeshInstances {
		ch.addFinding("heartbeat.meshInstances", "%d is not between 1 and %d", n, maxMeshInstances)
	}
	ch.checkLess("lease.renewal", se.Lease.Renewal, "lease.ttl", se.Lease.TTL)
	ch.checkLess("heartbeat.interval", se.Heartbeat.Interval, "heartbeat.suspect", se.Heartbeat.Suspect)
	ch.checkLess("heartbeat.suspect", se.Heartbeat.Suspect, "heartbeat.gone", se.Heartbeat.Gone)
	ch.checkLess("shutdown.balancerLag", se.Shutdown.BalancerLag, "shutdown.deadline", se.Shutdown.Deadline)
}

// checkLess checks that value is shorter than bound, unless boundField already has a finding. The finding is about
// boundField if the document sets only boundField, and otherwise about field.
func (ch *checker) checkLess(field string, value time.Duration, boundField string, bound time.Duration) {
	switch {
	case value < bound || ch.reportedFields[boundField]:
	case !ch.doc.Has(field) && ch.doc.Has(boundField):
		ch.addFinding(boundField, "%s must be longer than %s, which is %s", bound, field, value)
	default:
		ch.addFinding(field, "%s must be shorter than %s, which is %s", value, boundField, bound)
	}
}
