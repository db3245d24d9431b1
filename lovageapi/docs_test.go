package lovageapi

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// example is one call of docs/api.md with its reply.
type example struct {
	line         int
	api          string // "caller" or "operator"
	method, path string
	body         string
	status       int
	headers      map[string]string
	reply        string
}

var exampleStartPattern = regexp.MustCompile("^```http (caller|operator)$")

// readExamples reads pairs of blocks: "```http caller" or "```http operator" for the request, and "```http reply".
func readExamples(t *testing.T) []example {
	data, err := os.ReadFile("../docs/api.md")
	must.NoError(t, err)
	var out []example
	lines := strings.Split(string(data), "\n")
	block := func(i int) (string, int) {
		first := i
		for lines[i] != "```" {
			i++
		}
		return strings.Join(lines[first:i], "\n"), i
	}
	for i := 0; i < len(lines); i++ {
		ma := exampleStartPattern.FindStringSubmatch(lines[i])
		if ma == nil {
			must.StrNotHasPrefix(t, "```http reply", lines[i], must.Sprintf("line %d: a reply without a request", i+1))
			continue
		}
		ex := example{line: i + 1, api: ma[1], headers: map[string]string{}}
		var text string
		text, i = block(i + 1)
		head, body, _ := strings.Cut(text, "\n\n")
		ex.method, ex.path, _ = strings.Cut(head, " ")
		ex.body = body
		for i++; lines[i] == ""; i++ {
		}
		must.Eq(t, "```http reply", lines[i], must.Sprintf("line %d", i+1))
		text, i = block(i + 1)
		head, ex.reply, _ = strings.Cut(text, "\n\n")
		for j, line := range strings.Split(head, "\n") {
			if name, value, ok := strings.Cut(line, ": "); ok && j > 0 {
				ex.headers[name] = value
			} else {
				ex.status, err = strconv.Atoi(strings.Fields(line)[0])
				must.NoError(t, err)
				must.Eq(t, strconv.Itoa(ex.status)+" "+http.StatusText(ex.status), line)
			}
		}
		out = append(out, ex)
	}
	return out
}

// The examples in docs/api.md must work as printed.
func TestDocsExamples(t *testing.T) {
	ta := startAPI(t, DefaultSettings())
	examples := readExamples(t)
	must.Greater(t, 15, len(examples))
	for _, ex := range examples {
		name := "line " + strconv.Itoa(ex.line) + " " + ex.method + " " + ex.path
		base := ta.callerURL
		if ex.api == "operator" {
			base = ta.operatorURL
		}
		req, err := http.NewRequest(ex.method, base+ex.path, strings.NewReader(ex.body))
		must.NoError(t, err)
		res, err := http.DefaultClient.Do(req)
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, ex.status, res.StatusCode, must.Sprint(name))
		for header, value := range ex.headers {
			must.Eq(t, value, res.Header.Get(header), must.Sprint(name))
		}
		if strings.Contains(ex.path, "/v1/watch") && ex.status == http.StatusOK {
			compareLines(t, name, ex.reply, res.Body)
		} else {
			got, err := io.ReadAll(res.Body)
			must.NoError(t, err)
			if json.Valid([]byte(ex.reply)) {
				must.Eq(t, compactJSON(t, ex.reply), compactJSON(t, string(got)), must.Sprint(name))
			} else {
				must.Eq(t, ex.reply, strings.TrimSpace(string(got)), must.Sprint(name))
			}
		}
		must.NoError(t, res.Body.Close())
	}
}

// compareLines checks that a watch begins with the wanted lines.
func compareLines(t *testing.T, name, want string, body io.Reader) {
	sc := bufio.NewScanner(body)
	for _, line := range strings.Split(want, "\n") {
		must.True(t, sc.Scan(), must.Sprint(name))
		must.Eq(t, line, sc.Text(), must.Sprint(name))
	}
}

func compactJSON(t *testing.T, text string) string {
	var out bytes.Buffer
	must.NoError(t, json.Compact(&out, []byte(text)), must.Sprint(text))
	return out.String()
}
