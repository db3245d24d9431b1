package lovageresource

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const validTOML = `[[resources]]
kind = "Service"
name = "ticket"
spec = { runTime = "200ms" }

[[resources]]
kind = "Pool"
name = "kandla-a"
[resources.spec]
dataCentre = "kandla"
services = ["ticket"]
region = "gujarat"
[[resources.spec.workers]]
id = "kandla-w1"
address = "10.1.0.1:8080"
slots = 8
connections = 64

[[resources]]
kind = "Team"
name = "gate"
spec = { weight = 2.5, runningTasks = 100 }

[[resources]]
kind = "Configuration"
name = "default"
[resources.spec]
ejection = { maxBackOff = "3s" }
domainSlots = 512
`

// Checks that declarations keep all values when they are decoded from TOML and in a JSON round trip.
func TestDecodeRoundTrip(t *testing.T) {
	resources, findings := DecodeTOML("all.toml", []byte(validTOML))
	must.SliceEmpty(t, findings, must.Sprint(findings))
	must.Len(t, 4, resources)
	must.Eq(t, Duration(200*time.Millisecond), resources[0].Spec.(Service).RunTime)
	must.Eq(t, "10.1.0.1:8080", resources[1].Spec.(Pool).Workers[0].Address.String())
	must.Eq(t, 2.5, resources[2].Spec.(Team).Weight)
	must.Eq(t, Duration(3*time.Second), resources[3].Spec.(Configuration).Ejection.MaxBackOff)
	must.Eq(t, Duration(time.Second), resources[3].Spec.(Configuration).Ejection.BackOff)
	must.Eq(t, "gujarat", resources[1].Spec.(Pool).Region)
	must.Eq(t, 512, resources[3].Spec.(Configuration).DomainSlots)
	must.Eq(t, 4096, DefaultConfiguration().DomainSlots)

	data, err := json.Marshal(map[string]any{"resources": resources, "revision": 7})
	must.NoError(t, err)
	again, findings := Decode("all.JSON", data)
	must.SliceEmpty(t, findings, must.Sprint(findings))
	must.Eq(t, resources, again)
	one, err := json.Marshal(resources[1])
	must.NoError(t, err)
	single, findings := DecodeJSON("one.json", one)
	must.SliceEmpty(t, findings)
	must.True(t, single[0].SameDeclaration(&resources[1]))
	var plain Resource
	must.NoError(t, json.Unmarshal(one, &plain))
	must.Eq(t, resources[1], plain)
}

// Checks that the decoder reports all faults, not only the first, and the right position of each.
func TestDecodeCollectsFindings(t *testing.T) {
	text := strings.NewReplacer(
		`"200ms"`, `"40s", color = 1`, // longer than maxRunTime; unknown field
		`"10.1.0.1:8080"`, `"w1.example:8080"`,
		`slots = 8`, `slots = 0`,
		`"gujarat"`, `"Gujarat"`,
		`domainSlots = 512`, `domainSlots = 0`,
		`weight = 2.5`, `weight = "high"`,
		`"default"`, `"other"`,
		`maxBackOff = "3s"`, `maxBackOff = "3s", backOff = "9s"`,
	).Replace(validTOML)
	_, findings := DecodeTOML("all.toml", []byte(text))
	var got []string
	for _, fi := range findings {
		got = append(got, strings.SplitAfterN(fi.String(), ": ", 3)[0]+fi.Field)
	}
	must.Eq(t, []string{
		"all.toml:4:10: resources[0].spec.runTime",
		"all.toml:4:27: resources[0].spec.color",
		"all.toml:12:1: resources[1].spec.region",
		"all.toml:15:1: resources[1].spec.workers[0].address",
		"all.toml:16:1: resources[1].spec.workers[0].slots",
		"all.toml:22:10: resources[2].spec.weight",
		"all.toml:26:1: resources[3].name",
		"all.toml:28:33: resources[3].spec.ejection.backOff",
		"all.toml:29:1: resources[3].spec.domainSlots",
	}, got)
}

// Checks that faulty JSON is rejected and that its position is reported. encoding/json accepts some faults,
// such as duplicate keys, and decodes something other than the author intended.
func TestDecodeJSONFaults(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"key twice", `{"kind":"Team","name":"a","spec":{"weight":1,` + "\n" + `"weight":2}}`, "f.json:2:1: spec.weight: occurs twice"},
		{"rest", `{"kind":"Team","name":"a","spec":{}} x`, "f.json:1:38: there is more text"},
		{"cut off", `{"kind":"Team"`, "f.json:1:15: the JSON text ends too early"},
		{"case", `{"kind":"Team","name":"a","Spec":{}}`, "f.json:1:27: Spec: is not known here"},
		{"fraction", `{"kind":"Team","name":"a","spec":{"queuedTasks":1.5}}`, "f.json:1:35: spec.queuedTasks: 1.5 is not a whole number"},
		{"kind", `{"kind":"Job","name":"a","spec":{}}`, `f.json:1:2: kind: "Job" is not a kind of resource`},
		{"no spec", `{"kind":"Team","name":"a"}`, "f.json:1:1: spec: is missing"},
		{"none", `{"resources":[]}`, "f.json:1:2: resources: the file declares no resource"},
		{"twice", `{"resources":[{"kind":"Team","name":"a","spec":{}},{"kind":"Team","name":"a","spec":{}}]}`, "f.json:1:67: resources[1].name: Team \"a\" is declared at resources[0] too"},
		{"deep", strings.Repeat("[", 2000), "f.json:1:"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, findings := DecodeJSON("f.json", []byte(tc.text))
			must.NotNil(t, findings)
			var all []string
			for _, fi := range findings {
				all = append(all, fi.String())
			}
			must.StrContains(t, strings.Join(all, "\n"), tc.want)
		})
	}
}
