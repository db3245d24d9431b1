package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Checks that dev --once, the first command that a new user runs, succeeds and prints a complete answer.
func TestDevOnce(t *testing.T) {
	var stdout, stderr bytes.Buffer
	en := &environment{stdin: strings.NewReader(""), stdout: &stdout, stderr: &stderr}
	status := runMain(t.Context(), []string{"dev", "--once"}, en)
	must.Eq(t, exitOK, status, must.Sprintf("%s%s", stdout.String(), stderr.String()))
	must.StrContains(t, stdout.String(), "complete: 3 tasks, 3 started")
	must.StrContains(t, stdout.String(), "response over ideal")
}
