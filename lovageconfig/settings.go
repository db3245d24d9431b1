package lovageconfig

import (
	"net/netip"
	"os"
	"time"
)

// Settings are the settings of one entry instance.
type Settings struct {
	ID         string    `toml:"id"`         // unique name of the instance; required
	DataCentre string    `toml:"dataCentre"` // data centre of the instance; required
	Addresses  Addresses `toml:"addresses"`
	Advertise  Advertise `toml:"advertise"`
	Platform   Platform  `toml:"platform"`
	Peers      Peers     `toml:"peers"`
	Limits     Limits    `toml:"limits"`
	Lease      Lease     `toml:"lease"`
	Heartbeat  Heartbeat `toml:"heartbeat"`
	Shutdown   Shutdown  `toml:"shutdown"`
	Trace      Trace     `toml:"trace"`
	Log        Log       `toml:"log"`
}

// Addresses are the addresses that the instance listens on; all are required.
type Addresses struct {
	Caller   netip.AddrPort `toml:"caller"`   // caller API
	Operator netip.AddrPort `toml:"operator"` // operator API, health, metrics and profiles
	Peer     netip.AddrPort `toml:"peer"`     // sessions from other instances; announced to peers, so it must be reachable
}

// Advertise holds addresses that the instance announces instead of those it listens on.
type Advertise struct {
	// Caller is the address where callers reach the caller API; default addresses.caller. If its IP address is
	// unspecified, such as 0.0.0.0, the instance announces no address and callers reach it only through the balancer.
	Caller netip.AddrPort `toml:"caller"`
}

// CallerAddress returns the address that the instance announces to callers, or "" if it announces none.
func (se *Settings) CallerAddress() string {
	ad := se.Advertise.Caller
	if !ad.IsValid() {
		ad = se.Addresses.Caller
	}
	if !ad.IsValid() || ad.Addr().IsUnspecified() || ad.Port() == 0 {
		return ""
	}
	return ad.String()
}

// Platform configures the connection to the users' platform.
type Platform struct {
	Addresses []netip.AddrPort `toml:"addresses"` // platform addresses, at least one; the client tries them in turn
	Timeout   time.Duration    `toml:"timeout"`   // time limit of a request; default 2s
}

// Peers configures how the instance finds others before it has the platform's list of instances.
type Peers struct {
	Seeds []netip.AddrPort `toml:"seeds"` // peer addresses of other instances; may be empty
}

// Limits are maximum values for the load that the instance accepts.
type Limits struct {
	TasksPerJob      int           `toml:"tasksPerJob"`      // tasks of a job; default 350, the users' stated maximum
	PayloadBytes     int           `toml:"payloadBytes"`     // largest payload of a task; default 65536
	BodyBytes        int64         `toml:"bodyBytes"`        // largest request body; default 33554432, enough for 350 full payloads
	MaxDeadline      time.Duration `toml:"maxDeadline"`      // longest time to a deadline; default 10m, below a key's lifetime
	QueuedTasks      int           `toml:"queuedTasks"`      // tasks queued in the whole instance; default 100000
	QueuedJobs       int           `toml:"queuedJobs"`       // jobs queued in the whole instance; default 20000
	Records          int           `toml:"records"`          // records of keys in the whole instance; default 500000
	CallerRequests   int           `toml:"callerRequests"`   // concurrent requests at the caller API; default 20000
	OperatorRequests int           `toml:"operatorRequests"` // concurrent requests and watches at the operator API; default 2000
	MemoryMB         int64         `toml:"memoryMB"`         // memory by which the limits of clients are set; default 5120
	MaxFiles         int           `toml:"maxFiles"`         // descriptors by which they are set; default 65536
}

// Lease configures the lease of the instance's row in the platform's table.
type Lease struct {
	TTL     time.Duration `toml:"ttl"`     // lifetime of a lease without renewal; default 6s
	Renewal time.Duration `toml:"renewal"` // renewal interval; default 2s, so that a lease survives two failed renewals
}

// Heartbeat configures heartbeats and the detection of failed peers.
type Heartbeat struct {
	Interval time.Duration `toml:"interval"` // time between heartbeats; default 1s
	Suspect  time.Duration `toml:"suspect"`  // silence after which a peer counts as suspect; default 3s
	Gone     time.Duration `toml:"gone"`     // silence after which a peer counts as gone; default 6s

	// MeshInstances is the largest number of known instances, this one included, at which all have sessions with each
	// other. Above it, one instance per data centre exchanges summaries with the other data centres. Default 24.
	MeshInstances int `toml:"meshInstances"`
}

// Shutdown configures the timing of a graceful shutdown.
type Shutdown struct {
	BalancerLag time.Duration `toml:"balancerLag"` // how long after "not ready" the balancer may send requests; default 5s
	Deadline    time.Duration `toml:"deadline"`    // time from SIGTERM until remaining requests are aborted; default 60s
}

// Trace configures the export of spans, which needs either OTLP or File.
type Trace struct {
	OTLP  netip.AddrPort `toml:"otlp"`  // address of an OTLP/HTTP receiver
	File  string         `toml:"file"`  // file to append spans to, as JSON lines
	Ratio float64        `toml:"ratio"` // fraction of requests that are traced, 0 to 1; default 0.01
}

// Log configures logging.
type Log struct {
	Level string `toml:"level"` // "debug", "info", "warn" or "error"; default "info"
}

// Defaults returns the default settings. Required fields are empty.
func Defaults() Settings {
	return Settings{
		Platform: Platform{Timeout: 2 * time.Second},
		Limits: Limits{
			TasksPerJob:      350,
			PayloadBytes:     64 << 10,
			BodyBytes:        32 << 20,
			MaxDeadline:      10 * time.Minute,
			QueuedTasks:      100_000,
			QueuedJobs:       20_000,
			Records:          500_000,
			CallerRequests:   20_000,
			OperatorRequests: 2_000, MemoryMB: 5120, MaxFiles: 65_536,
		},
		Lease:     Lease{TTL: 6 * time.Second, Renewal: 2 * time.Second},
		Heartbeat: Heartbeat{Interval: time.Second, Suspect: 3 * time.Second, Gone: 6 * time.Second, MeshInstances: 24},
		Shutdown:  Shutdown{BalancerLag: 5 * time.Second, Deadline: time.Minute},
		Trace:     Trace{Ratio: 0.01},
		Log:       Log{Level: "info"},
	}
}

// Load reads a settings file. With findings, the settings must not be used. An unreadable file is a finding too.
func Load(file string) (Settings, []Finding) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, []Finding{{File: file, Problem: "read the settings: " + err.Error()}}
	}
	return Parse(file, data)
}

// Parse is like Load for the contents of a file. The file name appears in findings only.
func Parse(file string, data []byte) (Settings, []Finding) {
	doc, findings := ParseTOML(file, data)
	if len(findings) > 0 {
		return Settings{}, findings
	}
	se := Defaults()
	findings = doc.Decode(&se)
	findings = append(findings, checkSettings(doc, &se, findings)...)
	SortFindings(findings)
	return se, findings
}
