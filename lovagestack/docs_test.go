package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

var tomlBlock = regexp.MustCompile("(?s)```toml\n(.*?)```")

// Checks that the examples on the operators' page pass the check command, which the page recommends.
func TestOperatorsPageExamples(t *testing.T) {
	page, err := os.ReadFile("../docs/operators.md")
	must.NoError(t, err)
	blocks := tomlBlock.FindAllSubmatch(page, -1)
	must.Len(t, 2, blocks)
	dir := t.TempDir()
	for i, block := range blocks {
		must.NoError(t, os.WriteFile(filepath.Join(dir, fmt.Sprintf("%d.toml", i)), block[1], 0o600))
	}
	var stdout, stderr bytes.Buffer
	en := &environment{stdin: strings.NewReader(""), stdout: &stdout, stderr: &stderr}
	status := runMain(t.Context(), []string{"check", "--settings", filepath.Join(dir, "0.toml"), filepath.Join(dir, "1.toml")}, en)
	must.Eq(t, exitOK, status, must.Sprintf("%s%s", stdout.String(), stderr.String()))
}
