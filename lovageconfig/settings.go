package lovageconfig

import (
	"net/netip"
	"os"
	"time"
)

// Settings are the settings of one entry instance.
type Settings struct {
	ID         string    `toml:"id"`         // name of the instance, unique among all instances; required
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

// Addresses are the addresses on which the instance listens, each an IP address and port; all required.
type Addresses struct {
	Caller   netip.AddrPort `toml:"caller"`   // caller API
	Operator netip.AddrPort `toml:"operator"` // operator API, health, metrics and profiles
	Peer     netip.AddrPort `toml:"peer"`     // sessions from other instances; given to peers, so it must be reachable
}

// Advertise holds addresses that others are told instead of those on which the instance listens.
type Advertise struct {
	// Caller is where callers reach the caller API; default addresses.caller. With an unspecified IP address such as
	// 0.0.0.0 callers are told no address and use the balancer only.
	Caller netip.AddrPort `toml:"caller"`
}

// CallerAddress returns the address that callers are told, or "" if they are told none.
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

// Platform says how to reach the users' platform.
type Platform struct {
	Addresses []netip.AddrPort `toml:"addresses"` // at least one; tried in turn
	Timeout   time.Duration    `toml:"timeout"`   // of one request; default 2s
}

// Peers says how to find other instances before the platform's list is known.
type Peers struct {
	Seeds []netip.AddrPort `toml:"seeds"` // peer addresses of other instances; may be empty
}

// Limits bound what the instance takes in.
type Limits struct {
	TasksPerJob      int           `toml:"tasksPerJob"`      // default 350, the users' stated maximum
	PayloadBytes     int           `toml:"payloadBytes"`     // per task; default 65536
	BodyBytes        int64         `toml:"bodyBytes"`        // of an HTTP request; default 33554432, which holds 350 full payloads
	MaxDeadline      time.Duration `toml:"maxDeadline"`      // how far ahead a deadline may lie; default 10m, below the key lifetime
	QueuedTasks      int           `toml:"queuedTasks"`      // in the whole instance; default 100000
	QueuedJobs       int           `toml:"queuedJobs"`       // in the whole instance; default 20000
	Records          int           `toml:"records"`          // remembered keys in the whole instance; default 500000
	CallerRequests   int           `toml:"callerRequests"`   // in progress at the caller API; default 20000
	OperatorRequests int           `toml:"operatorRequests"` // in progress at the operator API, with watches; default 2000
}

// Lease times the instance's row in the table.
type Lease struct {
	TTL     time.Duration `toml:"ttl"`     // default 6s
	Renewal time.Duration `toml:"renewal"` // default 2s, so that two renewals may fail before the lease expires
}

// Heartbeat times the messages between instances.
type Heartbeat struct {
	Interval time.Duration `toml:"interval"` // default 1s
	Suspect  time.Duration `toml:"suspect"`  // silence after which a peer is suspect; default 3s
	Gone     time.Duration `toml:"gone"`     // silence after which a peer counts as gone; default 6s

	// MeshInstances is the largest number of known instances, with this one, of which each has a session with every other.
	// Above it, one instance of each data centre exchanges summaries with the other data centres. Default 24.
	MeshInstances int `toml:"meshInstances"`
}

// Shutdown times a graceful shutdown.
type Shutdown struct {
	BalancerLag time.Duration `toml:"balancerLag"` // from "not ready" until the balancer sends nothing new; default 5s
	Deadline    time.Duration `toml:"deadline"`    // from SIGTERM until what is left is cut; default 60s
}

// Trace says where spans go. With neither field set no spans are exported.
type Trace struct {
	OTLP  netip.AddrPort `toml:"otlp"`  // address of an OTLP/HTTP receiver
	File  string         `toml:"file"`  // spans are appended as JSON lines
	Ratio float64        `toml:"ratio"` // share of requests that are traced, 0 to 1; default 0.01
}

// Log says what is logged.
type Log struct {
	Level string `toml:"level"` // "debug", "info", "warn" or "error"; default "info"
}

// Defaults returns the settings that hold for fields a file does not set.
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
			OperatorRequests: 2_000,
		},
		Lease:     Lease{TTL: 6 * time.Second, Renewal: 2 * time.Second},
		Heartbeat: Heartbeat{Interval: time.Second, Suspect: 3 * time.Second, Gone: 6 * time.Second, MeshInstances: 24},
		Shutdown:  Shutdown{BalancerLag: 5 * time.Second, Deadline: time.Minute},
		Trace:     Trace{Ratio: 0.01},
		Log:       Log{Level: "info"},
	}
}

// Load reads a settings file. If there are findings, the settings must not be used. A file that cannot be read is a
// finding too.
func Load(file string) (Settings, []Finding) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, []Finding{{File: file, Problem: "read the settings: " + err.Error()}}
	}
	return Parse(file, data)
}

// Parse is Load for a text; the file name is used in findings only.
func Parse(file string, data []byte) (Settings, []Finding) {
	doc, findings := ParseTOML(file, data)
	if len(findings) > 0 {
		return Settings{}, findings
	}
	se := Defaults()
	findings = doc.Decode(&se)
	findings = append(findings, check(doc, &se, findings)...)
	SortFindings(findings)
	return se, findings
}
