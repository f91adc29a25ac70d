package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// A record is the file with what was sent, answered and run.
type record struct {
	trouble bool

	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// line writes a line with the time since the start of the case.
func (record *record) line(at time.Time, format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.file, "%9.3f s  %s\n", at.Sub(record.began).Seconds(), fmt.Sprintf(format, values...))
}

func (record *record) close() { _ = record.file.Close() }
