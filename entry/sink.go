package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"os"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/outcome"
)

// streamBufferBytes bounds the events that wait for a flush. A full buffer is
// written at once, so that a slow caller holds no more than this and the
// connection's buffers.
const streamBufferBytes = 16 << 10

// errCaller says that the caller left or takes no bytes.
var errCaller = errors.New("caller does not read")

// A sink delivers a draft's pieces in one of the two shapes.
type sink interface {
	// write takes texts in order. flush is false when more pieces have arrived
	// already. Its error is errCaller.
	write(texts []string, flush bool) error

	// started reports whether bytes have been sent to the caller.
	started() bool

	// finish ends the response. It panics with http.ErrAbortHandler to reset a
	// stream that has started and is not complete.
	finish(result outcome.Outcome, assembler *outcome.Assembler)
}

// The JSON shapes of answers, in the form that callers' client libraries
// expect.
type answerBody struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []answerChoice `json:"choices"`
	Usage   *answerUsage   `json:"usage,omitempty"`
}

type answerChoice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

type answerUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func newAnswerBody(exchange *exchange, parsed draft, object string) answerBody {
	return answerBody{
		ID:      "draft-" + uuid.NewString(),
		Object:  object,
		Created: exchange.started.Unix(),
		Model:   parsed.model,
		Choices: []answerChoice{{}},
	}
}

func finishReason(parsed draft, count int) *string {
	reason := "stop"
	if count >= parsed.maxTokens {
		reason = "length"
	}
	return &reason
}

// A wholeSink sends the answer at once when it is complete.
type wholeSink struct {
	exchange *exchange
	draft    draft
}

func newWholeSink(exchange *exchange, parsed draft) *wholeSink {
	return &wholeSink{exchange: exchange, draft: parsed}
}

// write does nothing: the assembler keeps the text.
func (sink *wholeSink) write([]string, bool) error { return nil }

func (sink *wholeSink) started() bool { return false }

func (sink *wholeSink) finish(result outcome.Outcome, assembler *outcome.Assembler) {
	if !outcome.IsComplete(result) {
		sink.exchange.report(result)
		return
	}
	object := "text_completion"
	if sink.draft.form == formChat {
		object = "chat.completion"
	}
	body := newAnswerBody(sink.exchange, sink.draft, object)
	text := assembler.Text()
	choice := &body.Choices[0]
	if sink.draft.form == formChat {
		choice.Message = &Message{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	choice.FinishReason = finishReason(sink.draft, assembler.Next())
	body.Usage = &answerUsage{CompletionTokens: assembler.Next()}
	data, err := json.Marshal(body)
	if err != nil {
		sink.exchange.report(outcome.Unknown{Reason: "answer cannot be encoded"})
		return
	}
	sink.exchange.respond(http.StatusOK, result, "application/json", data)
}

// A streamSink sends server-sent events.
type streamSink struct {
	exchange *exchange
	draft    draft
	body     answerBody
	buffer   *bufio.Writer
	sent     bool
}

func newStreamSink(exchange *exchange, parsed draft) *streamSink {
	object := "text_completion"
	if parsed.form == formChat {
		object = "chat.completion.chunk"
	}
	return &streamSink{
		exchange: exchange,
		draft:    parsed,
		body:     newAnswerBody(exchange, parsed, object),
		buffer:   bufio.NewWriterSize(exchange.writer, streamBufferBytes),
	}
}

func (sink *streamSink) started() bool { return sink.sent }

func (sink *streamSink) write(texts []string, flush bool) error {
	sink.open()
	sink.exchange.extendWrite()
	for _, text := range texts {
		choice := &sink.body.Choices[0]
		if sink.draft.form == formChat {
			choice.Delta = &delta{Content: text}
		} else {
			choice.Text = &text
		}
		if err := sink.event(sink.body); err != nil {
			return sink.failed(err)
		}
	}
	if !flush {
		return nil
	}
	return sink.flush()
}

// open sends the header before the first piece. Until then a failure can
// still be answered with a status.
func (sink *streamSink) open() {
	if sink.sent {
		return
	}
	sink.sent = true
	header := sink.exchange.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("Trailer", outcome.Header)
	sink.exchange.writer.WriteHeader(http.StatusOK)
	elapsed := sink.exchange.server.config.Now().Sub(sink.exchange.started)
	sink.exchange.server.metrics.firstText.Observe(elapsed.Seconds())
}

func (sink *streamSink) event(body answerBody) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = sink.buffer.Write(bytes.Join([][]byte{[]byte("data: "), data, []byte("\n\n")}, nil))
	return errors.Trace(err)
}

func (sink *streamSink) flush() error {
	if err := sink.buffer.Flush(); err != nil {
		return sink.failed(err)
	}
	if err := sink.exchange.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return sink.failed(err)
	}
	return nil
}

func (sink *streamSink) failed(err error) error {
	cause := "caller-left"
	if errors.Is(err, os.ErrDeadlineExceeded) {
		cause = "slow-caller"
	}
	sink.exchange.server.metrics.cut.WithLabelValues(cause).Inc()
	return errCaller
}

func (sink *streamSink) finish(result outcome.Outcome, assembler *outcome.Assembler) {
	complete := outcome.IsComplete(result)
	if !complete && !sink.sent {
		sink.exchange.report(result)
		return
	}
	if !complete {
		sink.exchange.count(outcome.Unknown{})
		panic(http.ErrAbortHandler)
	}
	sink.open()
	sink.exchange.extendWrite()
	if err := sink.end(assembler.Next()); err != nil {
		sink.exchange.count(outcome.Unknown{})
		panic(http.ErrAbortHandler)
	}
	sink.exchange.writer.Header().Set(outcome.Header, result.String())
	sink.exchange.count(result)
}

// end sends the final marker.
func (sink *streamSink) end(count int) error {
	choice := &sink.body.Choices[0]
	choice.FinishReason = finishReason(sink.draft, count)
	if sink.draft.form == formChat {
		choice.Delta = &delta{}
	} else {
		empty := ""
		choice.Text = &empty
	}
	sink.body.Usage = &answerUsage{CompletionTokens: count}
	if err := sink.event(sink.body); err != nil {
		return err
	}
	if _, err := sink.buffer.WriteString("data: [DONE]\n\n"); err != nil {
		return errors.Trace(err)
	}
	sink.exchange.extendWrite()
	return sink.flush()
}
