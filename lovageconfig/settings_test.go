package lovageconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const validSettings = `id = "kandla-1"
dataCentre = "kandla"
[addresses]
caller = "127.0.0.1:7001"
operator = "127.0.0.1:7002"
peer = "127.0.0.1:7003"
[platform]
addresses = ["127.0.0.1:9000"]
`

// Checks that values from the file and defaults are kept.
func TestLoad(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.toml")
	must.NoError(t, os.WriteFile(file, []byte(validSettings+"[lease]\nrenewal = \"1500ms\"\n"), 0o600))
	se, findings := Load(file)
	must.SliceEmpty(t, findings)
	must.Eq(t, "kandla-1", se.ID)
	must.Eq(t, "127.0.0.1:7002", se.Addresses.Operator.String())
	must.Eq(t, 1500*time.Millisecond, se.Lease.Renewal)
	must.Eq(t, 6*time.Second, se.Lease.TTL)
	_, findings = Load(filepath.Join(t.TempDir(), "missing.toml"))
	must.Len(t, 1, findings)
}

// Checks that Parse reports all faults with their positions.
func TestParseReportsAllFindings(t *testing.T) {
	text := `id = "kandla-1"
dataCentre = "kandla"
colour = "red"
[addresses]
caller = "127.0.0.1:7001"
operator = "127.0.0.1:7001"
peer = "entry.example:7003"
[platform]
addresses = ["127.0.0.1:9000"]
[limits]
tasksPerJob = "many"
[lease]
  renewal = "8s"
`
	_, findings := Parse("entry.toml", []byte(text))
	var got []string
	for _, fi := range findings {
		got = append(got, fi.String())
	}
	must.Eq(t, []string{
		`entry.toml:3:1: colour: is not known here; known are id, dataCentre, addresses, advertise, platform, peers, limits, ` +
			`lease, heartbeat, shutdown, trace, log`,
		`entry.toml:6:1: addresses.operator: 127.0.0.1:7001 clashes with addresses.caller, which is 127.0.0.1:7001`,
		`entry.toml:7:1: addresses.peer: ParseAddr("entry.example"): unexpected character (at "entry.example")`,
		`entry.toml:11:1: limits.tasksPerJob: the string "many" is not a whole number`,
		`entry.toml:13:3: lease.renewal: 8s must be shorter than lease.ttl, which is 6s`,
	}, got)
}

// Checks that each invalid setting gives one finding, which names the right field.
func TestParseInvalidSettings(t *testing.T) {
	cases := []struct{ name, add, field string }{
		{"syntax", "id = ", ""},
		{"advertised port", "[advertise]\ncaller = \"10.0.0.1:0\"", "advertise.caller"},
		{"advertised name", "[advertise]\ncaller = \"entry.example:7001\"", "advertise.caller"},
		{"advertised operator API", "[advertise]\ncaller = \"127.0.0.1:7002\"", "advertise.caller"},
		{"seed twice", "[peers]\nseeds = [\"10.0.0.1:1\",\n\"10.0.0.1:1\"]", "peers.seeds[1]"},
		{"seed port", "[peers]\nseeds = [\"10.0.0.1:0\"]", "peers.seeds[0]"},
		{"negative limit", "[limits]\nqueuedTasks = -1\ntasksPerJob = 1", "limits.queuedTasks"},
		{"no records", "[limits]\nrecords = 0", "limits.records"},
		{"payload above body", "[limits]\nbodyBytes = 100", "limits.payloadBytes"},
		{"lease below renewal", "[lease]\nttl = \"1s\"", "lease.ttl"},
		{"heartbeat order", "[heartbeat]\nsuspect = \"7s\"", "heartbeat.suspect"},
		{"no mesh", "[heartbeat]\nmeshInstances = 0", "heartbeat.meshInstances"},
		{"mesh too large", "[heartbeat]\nmeshInstances = 1001", "heartbeat.meshInstances"},
		{"mesh as text", "[heartbeat]\nmeshInstances = \"24\"", "heartbeat.meshInstances"},
		{"lag above deadline", "[shutdown]\nbalancerLag = \"2m\"", "shutdown.balancerLag"},
		{"duration as number", "[shutdown]\ndeadline = 5", "shutdown.deadline"},
		{"two trace targets", "[trace]\notlp = \"10.0.0.1:4318\"\nfile = \"spans\"", "trace.file"},
		{"ratio", "[trace]\nratio = 1.5", "trace.ratio"},
		{"level", "[log]\nlevel = \"loud\"", "log.level"},
		{"inline table", "heartbeat = { beat = 1 }", "platform.heartbeat"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, findings := Parse("entry.toml", []byte(validSettings+tc.add))
			must.Len(t, 1, findings, must.Sprint(findings))
			must.Eq(t, tc.field, findings[0].Field)
			must.Greater(t, 8, findings[0].Line)
		})
	}
}

// Checks that no unspecified IP address is announced. Otherwise each caller would waste a connection attempt.
func TestCallerAddress(t *testing.T) {
	for _, tc := range []struct{ listen, advertise, want string }{
		{"10.0.0.1:7001", "", "10.0.0.1:7001"},
		{"0.0.0.0:7001", "", ""},
		{"[::]:7001", "", ""},
		{"0.0.0.0:7001", "10.0.0.9:80", "10.0.0.9:80"},
		{"10.0.0.1:7001", "0.0.0.0:7001", ""},
	} {
		text := strings.Replace(validSettings, "127.0.0.1:7001", tc.listen, 1)
		if tc.advertise != "" {
			text += "[advertise]\ncaller = \"" + tc.advertise + "\"\n"
		}
		se, findings := Parse("entry.toml", []byte(text))
		must.SliceEmpty(t, findings)
		must.Eq(t, tc.want, se.CallerAddress(), must.Sprint(tc))
	}
}
