package lovageconfig

import (
	"strings"
	"testing"
)

// FuzzParse checks that no settings file crashes the decoder, and that each finding has a position in the file.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(validSettings + "[limits]\ntasksPerJob = 9223372036854775807\n[lease]\nttl = \"-1s\""))
	f.Add([]byte("id = 1\n[addresses]\ncaller = [\"a\"]\n[[platform]]\naddresses = {}"))
	f.Add([]byte("peers.seeds = [\"[::1]:1\", \"::1\", 3, [4]]\n\"\" = 1\n\"a.b\" = { \"c[0]\" = [1] }"))
	f.Add([]byte("trace = { ratio = -inf }\nlog = 1979-05-27T07:32:00Z\nshutdown = []"))
	f.Add([]byte("a = \"\"\"\nb\"\"\"\n[c]\n[c.d]\n[[e]]\n[[e.f]]\n[e.f.g]\nh = 1"))
	f.Add([]byte("id = \"\xff\""))
	f.Fuzz(func(t *testing.T, data []byte) {
		se, findings := Parse("fuzz.toml", data)
		lines := strings.Count(string(data), "\n") + 1
		for _, fi := range findings {
			if fi.Line < 1 || fi.Line > lines || fi.Column < 1 || fi.Problem == "" {
				t.Fatalf("finding without a position in the file: %+v", fi)
			}
		}
		if len(findings) == 0 && (se.ID == "" || !se.Addresses.Peer.IsValid() || se.Lease.Renewal >= se.Lease.TTL) {
			t.Fatalf("invalid settings accepted: %+v", se)
		}
	})
}
