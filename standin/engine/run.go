package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	wire "lacewingspoke.org/lacewingspoke/engine"
)

// run is one request in progress.
type run struct {
	engine    *Engine
	generate  wire.Generate
	live      context.Context
	cancelled context.Context
	request   *http.Request
	writer    http.ResponseWriter
	next      int
}

func (run *run) serve() {
	ctx, stop := run.context()
	defer stop()
	prompt := run.generate.Prompt + run.generate.ResumeText
	blocks := len(prompt) / BlockBytes
	if !run.engine.batch.enter(ctx, run.generate.Priority, blocks) {
		run.refuseQueued()
		return
	}
	defer run.engine.batch.leave(blocks)
	reused := run.engine.cache.use(prompt, time.Now())
	run.recordStart(reused)
	run.writer.Header().Set("Content-Type", "text/event-stream")
	run.writer.WriteHeader(http.StatusOK)
	// The header is sent before the first token; a failure shows at the first
	// write.
	_ = http.NewResponseController(run.writer).Flush()
	end := run.stream(ctx, time.Duration(blocks-reused)*run.engine.config.PrefillPerBlock)
	run.recordEnd(end)
	if end != EndDone {
		// The connection is reset, so that the client cannot take the answer
		// for a whole one.
		panic(http.ErrAbortHandler)
	}
}

// context returns a context that ends with the client, with a cancel call or
// with the VM's role.
func (run *run) context() (context.Context, func()) {
	ctx, cancel := context.WithCancel(run.request.Context())
	stopLive := context.AfterFunc(run.live, cancel)
	stopCancelled := context.AfterFunc(run.cancelled, cancel)
	return ctx, func() {
		stopLive()
		stopCancelled()
		cancel()
	}
}

// refuseQueued answers a request that never left the queue.
func (run *run) refuseQueued() {
	if run.request.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	http.Error(run.writer, "request ended in the queue and did not run", http.StatusServiceUnavailable)
}

func (run *run) stream(ctx context.Context, prefill time.Duration) string {
	if !pause(ctx, prefill) {
		return run.reason()
	}
	run.next = run.generate.ResumeIndex
	for run.next < run.generate.MaxTokens {
		interval := run.engine.config.TokenInterval + time.Duration(run.engine.slow.amount.Load())
		if !pause(ctx, interval) || !run.engine.hold.wait(ctx, run.next) {
			return run.reason()
		}
		text := Token(run.generate.Prompt, run.next)
		if !run.send(wire.Piece{Attempt: run.generate.Attempt, Index: run.next, Text: text}) {
			return run.reason()
		}
		run.next++
	}
	if !run.send(wire.Piece{Attempt: run.generate.Attempt, Index: run.next, Done: true}) {
		return run.reason()
	}
	return EndDone
}

func pause(ctx context.Context, duration time.Duration) bool {
	clock := time.NewTimer(duration)
	defer clock.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-clock.C:
		return true
	}
}

func (run *run) send(piece wire.Piece) bool {
	data, err := json.Marshal(piece)
	if err != nil {
		return false
	}
	event := append([]byte("data: "), data...)
	event = append(event, "\n\n"...)
	if _, err := run.writer.Write(event); err != nil {
		return false
	}
	return http.NewResponseController(run.writer).Flush() == nil
}

func (run *run) reason() string {
	switch {
	case run.cancelled.Err() != nil:
		return EndCancelled
	case run.live.Err() != nil:
		return EndCut
	default:
		return EndDisconnected
	}
}

func (run *run) recordStart(reused int) {
	line := run.line(EventStart)
	line.From = run.generate.ResumeIndex
	line.ReusedBlocks = reused
	line.WrongResume = run.generate.ResumeText != Answer(run.generate.Prompt, run.generate.ResumeIndex)
	run.engine.record.add(line)
}

func (run *run) recordEnd(end string) {
	line := run.line(EventEnd)
	line.From = run.generate.ResumeIndex
	line.To = run.next
	line.End = end
	run.engine.record.add(line)
}

func (run *run) line(event Event) Line {
	return Line{
		Event:     event,
		Group:     run.generate.Group,
		Epoch:     run.generate.Epoch,
		Attempt:   run.generate.Attempt,
		Prompt:    run.generate.Prompt,
		MaxTokens: run.generate.MaxTokens,
		Priority:  run.generate.Priority,
	}
}
