package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// A record is what a case saw, in the order of time.
type record struct {
	mutex sync.Mutex
	began time.Time
	file  *os.File
	lines *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, lines: bufio.NewWriter(file)}, nil
}

// note writes a line with the time since the start in seconds.
func (record *record) note(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.lines, "%8.3f  ", time.Since(record.began).Seconds())
	fmt.Fprintf(record.lines, format+"\n", arguments...)
}

// say writes a line to the standard output as well.
func (record *record) say(format string, arguments ...any) {
	fmt.Printf(format+"\n", arguments...)
	record.note(format, arguments...)
}

func (record *record) close() {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_ = record.lines.Flush()
	_ = record.file.Close()
}

// A run is a request that a runner began to work on.
type run struct {
	attempt, runner, service, host, path, tenant string

	at time.Time
}

// runs are all runs of a case.
type runs struct {
	mutex sync.Mutex
	all   []run
}

func (runs *runs) add(added run) {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	runs.all = append(runs.all, added)
}

func (runs *runs) list() []run {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	return append([]run(nil), runs.all...)
}
