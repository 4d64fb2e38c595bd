// Package ledger records the requests that an emulated engine or service executed. It appends each
// entry as a line of JSON to a file, so that the record survives if the process is killed.
package ledger

import (
	"encoding/json"
	"os"
	"sync"
)

// Journal appends entries to a file. It is safe for concurrent use.
type Journal struct {
	mu   sync.Mutex
	file *os.File
}

// Open opens the file at path for appending. With an empty path the journal discards all entries.
func Open(path string) (*Journal, error) {
	if path == "" {
		return &Journal{}, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &Journal{file: f}, nil
}

// Write appends one entry. Write is not buffered: the line has been passed to the operating system
// before Write returns, so a kill of the process does not lose it. Write errors are ignored.
func (j *Journal) Write(entry any) {
	if j.file == nil {
		return
	}
	line, err := json.Marshal(entry)
	if err != nil {
		panic(err) // entries are plain structs, which always marshal
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = j.file.Write(append(line, '\n'))
}

// Close closes the file, if there is one.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	return j.file.Close()
}
