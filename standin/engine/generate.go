package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	wire "lacewingspoke.org/lacewingspoke/engine"
)

// generateCall is one generate request in progress. roleContext ends when an
// order changes the VM's role, cancelContext with a cancel call.
type generateCall struct {
	engine        *Engine
	generate      wire.Generate
	roleContext   context.Context
	cancelContext context.Context
	request       *http.Request
	writer        http.ResponseWriter
	next          int
}

func (call *generateCall) serve() {
	ctx, stop := call.context()
	defer stop()
	prompt := call.generate.Prompt + call.generate.ResumeText
	blocks := len(prompt) / BlockBytes
	if !call.engine.batch.admit(ctx, call.generate.Priority, blocks) {
		call.rejectQueued()
		return
	}
	defer call.engine.batch.release(blocks)
	reused := call.engine.cache.lookupAndStore(prompt, time.Now())
	call.recordStart(reused)
	call.writer.Header().Set("Content-Type", "text/event-stream")
	call.writer.WriteHeader(http.StatusOK)
	// The header is sent before the first token. A failed flush is ignored
	// here, because the first write then fails too.
	_ = http.NewResponseController(call.writer).Flush()
	end := call.stream(ctx, time.Duration(blocks-reused)*call.engine.config.PrefillPerBlock)
	call.recordEnd(end)
	if end != EndDone {
		// The connection is reset, so that the client cannot mistake the
		// incomplete answer for a whole one.
		panic(http.ErrAbortHandler)
	}
}

// context returns a context that ends when the client disconnects, when the
// attempt is cancelled or when the VM's role changes.
func (call *generateCall) context() (context.Context, func()) {
	ctx, cancel := context.WithCancel(call.request.Context())
	stopRole := context.AfterFunc(call.roleContext, cancel)
	stopCancel := context.AfterFunc(call.cancelContext, cancel)
	return ctx, func() {
		stopRole()
		stopCancel()
		cancel()
	}
}

// rejectQueued responds to a request that ended while it was queued.
func (call *generateCall) rejectQueued() {
	if call.request.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	http.Error(call.writer, "request ended in the queue and did not run", http.StatusServiceUnavailable)
}

func (call *generateCall) stream(ctx context.Context, prefill time.Duration) string {
	if !sleep(ctx, prefill) {
		return call.endReason()
	}
	call.next = call.generate.ResumeIndex
	for call.next < call.generate.MaxTokens {
		interval := call.engine.config.TokenInterval + time.Duration(call.engine.slow.amount.Load())
		if !sleep(ctx, interval) || !call.engine.hold.wait(ctx, call.next) {
			return call.endReason()
		}
		text := Token(call.generate.Prompt, call.next)
		if !call.send(wire.Piece{Attempt: call.generate.Attempt, Index: call.next, Text: text}) {
			return call.endReason()
		}
		call.next++
	}
	if !call.send(wire.Piece{Attempt: call.generate.Attempt, Index: call.next, Done: true}) {
		return call.endReason()
	}
	return EndDone
}

func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (call *generateCall) send(piece wire.Piece) bool {
	data, err := json.Marshal(piece)
	if err != nil {
		return false
	}
	event := append([]byte("data: "), data...)
	event = append(event, "\n\n"...)
	if _, err := call.writer.Write(event); err != nil {
		return false
	}
	return http.NewResponseController(call.writer).Flush() == nil
}

func (call *generateCall) endReason() string {
	switch {
	case call.cancelContext.Err() != nil:
		return EndCancelled
	case call.roleContext.Err() != nil:
		return EndCut
	default:
		return EndDisconnected
	}
}

func (call *generateCall) recordStart(reused int) {
	line := call.line(EventStart)
	line.From = call.generate.ResumeIndex
	line.ReusedBlocks = reused
	line.WrongResume = call.generate.ResumeText != Answer(call.generate.Prompt, call.generate.ResumeIndex)
	call.engine.record.add(line)
}

func (call *generateCall) recordEnd(end string) {
	line := call.line(EventEnd)
	line.From = call.generate.ResumeIndex
	line.To = call.next
	line.End = end
	call.engine.record.add(line)
}

func (call *generateCall) line(event Event) RecordLine {
	return RecordLine{
		Event:     event,
		Group:     call.generate.Group,
		Epoch:     call.generate.Epoch,
		Attempt:   call.generate.Attempt,
		Prompt:    call.generate.Prompt,
		MaxTokens: call.generate.MaxTokens,
		Priority:  call.generate.Priority,
	}
}
