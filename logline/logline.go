// Package logline writes structured log lines without ever blocking the
// goroutine that logs.
//
// Lines go to a bounded queue that one goroutine empties. When the output is
// slower than the lines, new lines are dropped and counted; the next line that
// is written says how many are missing. So the volume in memory is bounded and
// a request never waits for a log.
//
// # Usage
//
//	sink := logline.New(logline.Config{Output: os.Stdout})
//	logger := sink.Logger()
//	…
//	sink.Close() // writes what is queued
package logline

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// defaultQueue holds the lines of about a second of a busy node.
	defaultQueue = 2048

	// flushPause gathers lines into one write.
	flushPause = 50 * time.Millisecond
)

// Config holds what a Sink needs.
type Config struct {
	Output io.Writer

	// Queue is the number of lines that may wait, default 2048.
	Queue int
}

// A Sink takes log lines. It is safe for concurrent use.
type Sink struct {
	config  Config
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
}

// New returns a sink. The owner calls Close.
func New(config Config) *Sink {
	if config.Queue <= 0 {
		config.Queue = defaultQueue
	}
	sink := &Sink{
		config: config,
		lines:  make(chan []byte, config.Queue),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	go sink.run()
	return sink
}

// Logger returns a logger that writes JSON lines to the sink.
func (sink *Sink) Logger() *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoding), sink, zapcore.InfoLevel))
}

// Write queues a line. It never fails: a line without room is counted.
func (sink *Sink) Write(line []byte) (int, error) {
	select {
	case sink.lines <- bytes.Clone(line):
	default:
		sink.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (sink *Sink) Sync() error { return nil }

// Close writes the queued lines and ends the sink.
func (sink *Sink) Close() {
	close(sink.stop)
	<-sink.done
}

func (sink *Sink) run() {
	defer close(sink.done)
	for {
		select {
		case line := <-sink.lines:
			sink.flush(line)
		case <-sink.stop:
			sink.flush(nil)
			return
		}
		pause := time.NewTimer(flushPause)
		select {
		case <-pause.C:
		case <-sink.stop:
			pause.Stop()
			sink.flush(nil)
			return
		}
	}
}

// flush writes a line and all that are queued. A failed write loses them: there
// is no other place to report it.
func (sink *Sink) flush(line []byte) {
	buffer := bytes.NewBuffer(line)
	if missing := sink.dropped.Swap(0); missing > 0 {
		fmt.Fprintf(buffer, `{"level":"warn","msg":"log lines dropped","count":%d}`+"\n", missing)
	}
	for {
		select {
		case line := <-sink.lines:
			buffer.Write(line)
		default:
			_, _ = sink.config.Output.Write(buffer.Bytes())
			return
		}
	}
}
