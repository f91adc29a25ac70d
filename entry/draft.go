package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/engine"
	"lacewingspoke.org/lacewingspoke/outcome"
	"lacewingspoke.org/lacewingspoke/quarantine"
)

// Bounds of the number of tokens of an answer.
const (
	defaultMaxTokens = 256
	maxTokensLimit   = 128 << 10
)

// A draftForm is the form of a draft request: completion or chat.
type draftForm int

const (
	formCompletion draftForm = iota + 1
	formChat
)

// A Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt converts a chat to the prompt that is sent to engines: one line
// "role: content" for each message, followed by "assistant:".
func ChatPrompt(messages []Message) string {
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString(message.Role)
		prompt.WriteString(": ")
		prompt.WriteString(message.Content)
		prompt.WriteString("\n")
	}
	prompt.WriteString("assistant:")
	return prompt.String()
}

// draftBody is the JSON body of both forms of draft request. Parameters that
// engines cannot honour are rejected instead of ignored.
type draftBody struct {
	Model               string    `json:"model"`
	Prompt              *string   `json:"prompt"`
	Messages            []Message `json:"messages"`
	Stream              bool      `json:"stream"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	User                string    `json:"user"`
	samplingBody
}

// A draft is a validated draft request.
type draft struct {
	form      draftForm
	model     string
	prompt    string
	stream    bool
	maxTokens int
	sampling  *engine.Sampling

	// parts identify the messages, or the whole prompt of a completion.
	parts []string
}

func parseDraft(path string, body []byte) (draft, error) {
	form, err := parseForm(path)
	if err != nil {
		return draft{}, err
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var decoded draftBody
	if err := decoder.Decode(&decoded); err != nil {
		return draft{}, errors.NewNotValid(err, "body")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return draft{}, errors.NotValidf("data after the body's JSON value")
	}
	maxTokens := max(decoded.MaxTokens, decoded.MaxCompletionTokens)
	if maxTokens == 0 {
		maxTokens = defaultMaxTokens
	}
	if decoded.MaxTokens < 0 || decoded.MaxCompletionTokens < 0 || maxTokens > maxTokensLimit {
		return draft{}, errors.NotValidf("max_tokens outside 1 to %d", maxTokensLimit)
	}
	sampling, err := decoded.parse()
	if err != nil {
		return draft{}, errors.Trace(err)
	}
	parsed := draft{form: form, model: decoded.Model, stream: decoded.Stream, maxTokens: maxTokens, sampling: sampling}
	if form == formChat {
		if len(decoded.Messages) == 0 || decoded.Prompt != nil {
			return draft{}, errors.NotValidf("chat without messages or with a prompt")
		}
		parsed.prompt = ChatPrompt(decoded.Messages)
		for _, message := range decoded.Messages {
			parsed.parts = append(parsed.parts, quarantine.PartOf(message.Role, message.Content))
		}
		return parsed, nil
	}
	if decoded.Prompt == nil || len(decoded.Messages) > 0 {
		return draft{}, errors.NotValidf("completion without a prompt or with messages")
	}
	parsed.prompt = *decoded.Prompt
	parsed.parts = []string{quarantine.PartOf(parsed.prompt)}
	return parsed, nil
}

func parseForm(path string) (draftForm, error) {
	switch {
	case strings.HasSuffix(path, "/chat/completions"):
		return formChat, nil
	case strings.HasSuffix(path, "/completions"):
		return formCompletion, nil
	default:
		return 0, errors.NotFoundf("draft path %q", path)
	}
}

// serveDraft serves a draft request.
func (exchange *exchange) serveDraft(ctx context.Context, body []byte) {
	if exchange.request.Method != http.MethodPost {
		exchange.writer.Header().Set("Allow", http.MethodPost)
		exchange.refuse(http.StatusMethodNotAllowed, outcome.NotRun{Reason: "drafts are requested with POST"})
		return
	}
	parsed, err := parseDraft(exchange.request.URL.Path, body)
	switch {
	case errors.Is(err, errors.NotFound):
		exchange.refuse(http.StatusNotFound, outcome.NotRun{Reason: err.Error()})
		return
	case err != nil:
		exchange.refuse(http.StatusBadRequest, outcome.NotRun{Reason: err.Error()})
		return
	}
	var answer sink
	if parsed.stream {
		answer = newStreamSink(exchange, parsed)
	} else {
		answer = newBufferedSink(exchange, parsed)
	}
	relay := newDraftRelay(exchange, parsed, answer)
	answer.finish(relay.run(ctx), relay.assembler)
}
