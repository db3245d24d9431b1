package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, one JSON object a line.
type recorder struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
}

func newRecorder(dir string) (*recorder, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: file}, nil
}

// note writes a line: what happened, and values by name.
func (re *recorder) note(what string, values ...any) {
	line := map[string]any{"atMs": time.Since(re.began).Milliseconds(), "what": what}
	for i := 0; i+1 < len(values); i += 2 {
		line[fmt.Sprint(values[i])] = values[i+1]
	}
	data, err := json.Marshal(line)
	if err != nil {
		data = fmt.Appendf(nil, "%q", err.Error())
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	_, _ = re.file.Write(append(data, '\n'))
}

func (re *recorder) close() { _ = re.file.Close() }
