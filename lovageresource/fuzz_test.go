package lovageresource

import (
	"encoding/json"
	"strings"
	"testing"
)

// FuzzDecode guards against resource files that crash the decoder, against faulty files that pass without a finding,
// and against accepted resources that change in a JSON round trip.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validTOML), false)
	f.Add([]byte(`{"resources":[{"kind":"Team","name":"a","spec":{"weight":1e2}}]}`), true)
	f.Add([]byte(`{"kind":"Service","name":"a","spec":{"runTime":"1ms","retryBudget":0}}`), true)
	f.Add([]byte(`{"kind":"Pool","name":"a","spec":{"dataCentre":"b","services":["a"],"workers":[null]}}`), true)
	f.Add([]byte("[[resources]]\nkind='Team'\nname='a'\nspec.weight=nan"), false)
	f.Add([]byte("resources=[{kind='Team',name='a',spec={weight=1}},{}]\n[a.b]\n\"c.d\"=1"), false)
	f.Add([]byte("a=[[],[{b=[{c=1}]}]]\n[[resources]]\n[[resources.spec.workers]]\n[resources.spec.workers.x]"), false)
	f.Add([]byte(`{"a":{"":{"]":[{".":1}]}},"":2}`), true)
	f.Fuzz(func(t *testing.T, data []byte, asJSON bool) {
		file := "fuzz.toml"
		if asJSON {
			file = "fuzz.json"
		}
		resources, findings := Decode(file, data)
		lines := strings.Count(string(data), "\n") + 1
		for _, fi := range findings {
			if fi.Line < 1 || fi.Line > lines || fi.Column < 1 || fi.Problem == "" {
				t.Fatalf("finding without a position in the text: %+v", fi)
			}
		}
		if len(findings) > 0 {
			return
		}
		for i := range resources {
			if faults := resources[i].Validate(); len(faults) > 0 {
				t.Fatalf("resource accepted in spite of %v", faults)
			}
		}
		text, err := json.Marshal(map[string]any{"resources": resources})
		if err != nil {
			t.Fatal(err)
		}
		again, findings := DecodeJSON("again.json", text)
		if len(findings) > 0 || len(again) != len(resources) {
			t.Fatalf("%s was accepted, but refused after a round trip: %v", text, findings)
		}
		for i := range again {
			first, _ := json.Marshal(resources[i])
			second, _ := json.Marshal(again[i])
			if string(first) != string(second) {
				t.Fatalf("round trip turned %s into %s", first, second)
			}
		}
	})
}
