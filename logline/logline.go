// Package logline writes structured log lines without blocking the goroutine
// that logs.
//
// Lines are put into a bounded queue, from which one goroutine writes them to
// the output. While the queue is full, new lines are dropped and counted, and
// the next write reports how many were dropped. The memory for queued lines is
// therefore bounded, and a request never waits for a log line to be written.
//
// # Usage
//
//	sink := logline.New(logline.Config{Output: os.Stdout})
//	logger := sink.Logger()
//	…
//	sink.Close() // writes the queued lines
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
	// defaultQueueLines is enough for about one second of a busy node's lines.
	defaultQueueLines = 2048

	// flushInterval is the minimum time between two writes. Lines queued meanwhile
	// are combined into one write.
	flushInterval = 50 * time.Millisecond
)

// Config is the configuration of a Sink.
type Config struct {
	Output io.Writer

	// Queue is the maximum number of queued lines. The default is 2048.
	Queue int
}

// A Sink writes log lines to an output. It is safe for concurrent use.
type Sink struct {
	config  Config
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
}

// New returns a sink and starts its goroutine. Close must be called to end it.
func New(config Config) *Sink {
	if config.Queue <= 0 {
		config.Queue = defaultQueueLines
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

// Write queues a line. If the queue is full, it drops and counts the line. It
// never returns an error.
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

// Close writes the queued lines and ends the sink's goroutine. It must be called
// only once.
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
		timer := time.NewTimer(flushInterval)
		select {
		case <-timer.C:
		case <-sink.stop:
			timer.Stop()
			sink.flush(nil)
			return
		}
	}
}

// flush writes the line and all queued lines in one write. If the write fails,
// the lines are lost, because there is no other output that could report the
// error.
func (sink *Sink) flush(line []byte) {
	buffer := bytes.NewBuffer(line)
	if dropped := sink.dropped.Swap(0); dropped > 0 {
		fmt.Fprintf(buffer, `{"level":"warn","msg":"log lines dropped","count":%d}`+"\n", dropped)
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
