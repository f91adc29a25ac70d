package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"os"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/httpserve"
	"lacewingspoke.org/lacewingspoke/outcome"
)

// streamBufferBytes bounds the events that wait for a flush. A full buffer is
// written immediately, so that a slow caller occupies no more memory than this
// buffer and those of the connection.
const streamBufferBytes = 16 << 10

// errCallerDisconnected is returned when the caller has disconnected or accepts
// no bytes within the write timeout.
var errCallerDisconnected = errors.New("caller does not read")

// A sink sends a draft's answer to the caller, either as an event stream or as a
// single response.
type sink interface {
	// write appends texts to the answer. flush is false when the next piece has
	// already been received, so that both can be sent together. write returns
	// errCallerDisconnected when the caller cannot be written to.
	write(texts []string, flush bool) error

	// started reports whether the response has been started.
	started() bool

	// finish ends the response. It calls httpserve.Abort for a stream that was
	// started and cannot be completed.
	finish(result outcome.Outcome, assembler *outcome.Assembler)
}

// answerBody and the types of its fields are the JSON bodies of answers, in the
// format that common client libraries expect.
type answerBody struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []answerChoice `json:"choices"`
	Usage   *answerUsage   `json:"usage,omitempty"`
}

type answerChoice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *Message     `json:"message,omitempty"`
	Delta        *answerDelta `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type answerDelta struct {
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

// A bufferedSink sends the answer as a single response when it is complete.
type bufferedSink struct {
	exchange *exchange
	draft    draft
}

func newBufferedSink(exchange *exchange, parsed draft) *bufferedSink {
	return &bufferedSink{exchange: exchange, draft: parsed}
}

// write does nothing, because finish reads the text from the assembler.
func (sink *bufferedSink) write([]string, bool) error { return nil }

func (sink *bufferedSink) started() bool { return false }

func (sink *bufferedSink) finish(result outcome.Outcome, assembler *outcome.Assembler) {
	if !outcome.IsComplete(result) {
		sink.exchange.respondOutcome(result)
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
		sink.exchange.respondOutcome(outcome.Unknown{Reason: "answer cannot be encoded"})
		return
	}
	sink.exchange.respond(http.StatusOK, result, "application/json", data)
}

// A streamSink sends the answer as server-sent events.
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
	sink.writeHeader()
	sink.exchange.extendWriteDeadline()
	for _, text := range texts {
		choice := &sink.body.Choices[0]
		if sink.draft.form == formChat {
			choice.Delta = &answerDelta{Content: text}
		} else {
			choice.Text = &text
		}
		if err := sink.writeEvent(sink.body); err != nil {
			return sink.writeFailed(err)
		}
	}
	if !flush {
		return nil
	}
	return sink.flush()
}

// writeHeader sends the response header, if it has not been sent, before the
// first piece. Until then a failure can be reported with an error status.
func (sink *streamSink) writeHeader() {
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

func (sink *streamSink) writeEvent(body answerBody) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = sink.buffer.Write(bytes.Join([][]byte{[]byte("data: "), data, []byte("\n\n")}, nil))
	return errors.Trace(err)
}

func (sink *streamSink) flush() error {
	if err := sink.buffer.Flush(); err != nil {
		return sink.writeFailed(err)
	}
	if err := sink.exchange.controller.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return sink.writeFailed(err)
	}
	return nil
}

func (sink *streamSink) writeFailed(err error) error {
	cause := "caller-left"
	if errors.Is(err, os.ErrDeadlineExceeded) {
		cause = "slow-caller"
	}
	sink.exchange.server.metrics.cutStreams.WithLabelValues(cause).Inc()
	return errCallerDisconnected
}

func (sink *streamSink) finish(result outcome.Outcome, assembler *outcome.Assembler) {
	complete := outcome.IsComplete(result)
	if !complete && !sink.sent {
		sink.exchange.respondOutcome(result)
		return
	}
	if !complete {
		sink.exchange.countRequest(outcome.Unknown{})
		httpserve.Abort(sink.exchange.writer, sink.exchange.request)
	}
	sink.writeHeader()
	sink.exchange.extendWriteDeadline()
	if err := sink.writeEnd(assembler.Next()); err != nil {
		sink.exchange.countRequest(outcome.Unknown{})
		httpserve.Abort(sink.exchange.writer, sink.exchange.request)
	}
	sink.exchange.writer.Header().Set(outcome.Header, result.String())
	sink.exchange.countRequest(result)
}

// writeEnd sends the last event with the finish reason, and the final marker.
func (sink *streamSink) writeEnd(count int) error {
	choice := &sink.body.Choices[0]
	choice.FinishReason = finishReason(sink.draft, count)
	if sink.draft.form == formChat {
		choice.Delta = &answerDelta{}
	} else {
		empty := ""
		choice.Text = &empty
	}
	sink.body.Usage = &answerUsage{CompletionTokens: count}
	if err := sink.writeEvent(sink.body); err != nil {
		return err
	}
	if _, err := sink.buffer.WriteString("data: [DONE]\n\n"); err != nil {
		return errors.Trace(err)
	}
	sink.exchange.extendWriteDeadline()
	return sink.flush()
}
