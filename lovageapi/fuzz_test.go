package lovageapi

import (
	"bytes"
	"encoding/json"
	"testing"
)

// FuzzDecode guards against request bodies that crash the API, that are accepted although encoding/json's strict
// decoder rejects them, or that are rejected without a finding.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(jobJSON(testKey("a1").String(), `[{"payload":{"a":[{"b":"\\\""}]}},{"payload":"}"}]`)))
	f.Add([]byte(`{"service":"a","Service":"b"}`))
	f.Add([]byte(`{"tasks":[{"payload":1,"payload":{}}],"tasks":[]}`))
	f.Add([]byte(`{"\u006bey":"a"}`))
	f.Add([]byte(`[[[{"a":1}]]]`))
	f.Add([]byte(`null `))
	f.Add([]byte("{\"deadline\":\"x\",\n\"declaredRunTime\":5,\"tasks\":[1]}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var jo, strict JobRequest
		findings := decode(data, &jo, func(int64) bool { return true })
		dec := json.NewDecoder(bytes.NewReader(data))
		dec.DisallowUnknownFields()
		err := dec.Decode(&strict)
		if err != nil && len(findings) == 0 {
			t.Fatalf("%q was accepted, but the strict decoder reports: %v", data, err)
		}
		for _, fi := range findings {
			if fi.Problem == "" {
				t.Fatalf("a finding has no problem: %+v", findings)
			}
		}
	})
}
