// Package caller is a client that sends requests as a caller of the system does.
// It returns the response and the reported outcome of each request as a Result,
// which package checker compares with the records of the stand-ins.
//
// Each request should have a prompt or plank of its own, so that a run in a
// target's record can be assigned to its request.
//
// # Usage
//
//	client := caller.New(caller.Config{Address: "127.0.0.1:8080", Key: "key"})
//	result := client.Draft(ctx, caller.Draft{Prompt: "unique", MaxTokens: 20, Stream: true})
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/outcome"
)

// A Kind is the kind of a request.
type Kind string

// The kinds of request.
const (
	KindDraft   Kind = "draft"
	KindBooking Kind = "booking"
	KindLookup  Kind = "lookup"
)

// The outcomes that a response can report. OutcomeNone stands for a response
// without an outcome, for example because the connection broke.
const (
	OutcomeNone     = ""
	OutcomeComplete = "complete"
	OutcomeNotRun   = "not-run"
	OutcomeUnknown  = "unknown"
)

const (
	doneMarker     = "[DONE]"
	headerReplay   = "Lacewingspoke-Replay"
	maxAnswerBytes = 16 << 20
)

// A Result describes one request and the response that its caller received.
type Result struct {
	Kind Kind `json:"kind"`

	// Prompt and MaxTokens are set for drafts.
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"max-tokens,omitempty"`

	// Plank is set for bookings and lookups. Key is the idempotency key of a
	// booking, empty if it has none.
	Plank string `json:"plank,omitempty"`
	Key   string `json:"key,omitempty"`

	// Status is the HTTP status, 0 if no response was received. Outcome is the
	// outcome that the response reported.
	Status  int    `json:"status"`
	Outcome string `json:"told"`

	// Text is the received text. Ended reports whether the answer was received
	// up to its end: the final marker of a stream, or a whole body.
	Text  string `json:"text,omitempty"`
	Ended bool   `json:"ended"`

	// Receipts are the receipts that a booking or a lookup returned.
	Receipts []string `json:"receipts,omitempty"`

	// Replay reports whether the response is the stored answer of an earlier
	// request with the same key.
	Replay bool `json:"replay,omitempty"`

	// Error is the reason for which the request failed or its response was
	// interrupted.
	Error string `json:"error,omitempty"`
}

// A Config configures a Client.
type Config struct {
	// Address is the IP:port at which a node or balancer accepts callers.
	Address string

	// Key is the caller key, which selects the workspace.
	Key string

	// Deadline is sent as the value of the deadline header unless it is empty.
	Deadline string
}

// A Client sends requests. Each uses a new connection, so that a balancer can
// assign it to another node.
type Client struct {
	config Config
	client *http.Client
}

// New returns a Client.
func New(config Config) *Client {
	transport := &http.Transport{DisableKeepAlives: true}
	return &Client{config: config, client: &http.Client{Transport: transport}}
}

// A Draft is a completion request.
type Draft struct {
	Prompt    string
	MaxTokens int
	Stream    bool

	// Progress, if not nil, is called after each event of a stream with the
	// number of events received.
	Progress func(events int)
}

type draftBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream,omitempty"`
}

type answerBody struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// Draft sends a completion request.
func (client *Client) Draft(ctx context.Context, draft Draft) Result {
	result := Result{Kind: KindDraft, Prompt: draft.Prompt, MaxTokens: draft.MaxTokens}
	body := draftBody{Model: "any", Prompt: draft.Prompt, MaxTokens: draft.MaxTokens, Stream: draft.Stream}
	response, err := client.send(ctx, http.MethodPost, "/v1/completions", "", body)
	if err != nil {
		result.Error = err.Error()
		return result
	}
	defer response.Body.Close()
	result.Status = response.StatusCode
	result.Outcome = response.Header.Get(outcome.Header)
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		err = result.readStream(response, draft.Progress)
	} else {
		err = result.readDraft(response)
	}
	result.setError(err)
	return result
}

func (result *Result) setError(err error) {
	if err != nil {
		result.Error = err.Error()
	}
}

func (result *Result) readStream(response *http.Response, progress func(int)) error {
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxAnswerBytes)
	events := 0
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData {
			continue
		}
		if data == doneMarker {
			result.Ended = true
			continue
		}
		if err := result.appendEvent([]byte(data)); err != nil {
			return err
		}
		events++
		if progress != nil {
			progress(events)
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Annotate(err, "stream broke off")
	}
	// Trailers are available only after the whole body has been read.
	result.Outcome = response.Trailer.Get(outcome.Header)
	return nil
}

func (result *Result) appendEvent(data []byte) error {
	var answer answerBody
	if err := json.Unmarshal(data, &answer); err != nil || len(answer.Choices) == 0 {
		return errors.Errorf("event %q is not an answer", data)
	}
	result.Text += answer.Choices[0].Text
	return nil
}

func (result *Result) readDraft(response *http.Response) error {
	data, err := readBody(response)
	if err != nil || response.StatusCode != http.StatusOK {
		return result.responseError(data, err)
	}
	result.Ended = true
	return result.appendEvent(data)
}

// responseError returns the error of a response that is not a success: the
// error of reading the body, or the body itself.
func (result *Result) responseError(data []byte, err error) error {
	if err != nil {
		return err
	}
	return errors.Errorf("%s", bytes.TrimSpace(data))
}

// readResponse stores the status and the outcome of a response. If it has the
// wanted status, readResponse decodes its JSON body into target and reports
// whether that succeeded. bodyName is the name of the body in a decoding error.
func (result *Result) readResponse(response *http.Response, wanted int, bodyName string, target any) bool {
	defer response.Body.Close()
	result.Status = response.StatusCode
	result.Outcome = response.Header.Get(outcome.Header)
	result.Replay = response.Header.Get(headerReplay) != ""
	data, err := readBody(response)
	if err != nil || response.StatusCode != wanted {
		result.setError(result.responseError(data, err))
		return false
	}
	if err := json.Unmarshal(data, target); err != nil {
		result.setError(errors.Annotate(err, bodyName))
		return false
	}
	result.Ended = true
	return true
}

func readBody(response *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return data, errors.Annotate(err, "answer broke off")
}

type bookingBody struct {
	Plank string `json:"plank"`
}

type receiptBody struct {
	Receipt string `json:"receipt"`
}

// Book sends a booking of a plank. The idempotency key may be empty.
func (client *Client) Book(ctx context.Context, plank, key string) Result {
	result := Result{Kind: KindBooking, Plank: plank, Key: key}
	response, err := client.send(ctx, http.MethodPost, "/bookings", key, bookingBody{plank})
	if err != nil {
		result.Error = err.Error()
		return result
	}
	var receipt receiptBody
	if result.readResponse(response, http.StatusCreated, "receipt", &receipt) {
		result.Receipts = []string{receipt.Receipt}
	}
	return result
}

type plankBody struct {
	Plank    string   `json:"plank"`
	Receipts []string `json:"receipts"`
}

// Lookup requests the receipts of a plank. Runners do not share their bookings,
// so the response contains only those of one runner.
func (client *Client) Lookup(ctx context.Context, plank string) Result {
	result := Result{Kind: KindLookup, Plank: plank}
	response, err := client.send(ctx, http.MethodGet, "/planks/"+plank, "", nil)
	if err != nil {
		result.Error = err.Error()
		return result
	}
	var found plankBody
	if result.readResponse(response, http.StatusOK, "plank", &found) {
		result.Text = found.Plank
		result.Receipts = found.Receipts
	}
	return result
}

func (client *Client) send(ctx context.Context, method, path, key string, body any) (*http.Response, error) {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Trace(err)
		}
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+client.config.Address+path, content)
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set("Authorization", "Bearer "+client.config.Key)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	if client.config.Deadline != "" {
		request.Header.Set("Lacewingspoke-Deadline", client.config.Deadline)
	}
	response, err := client.client.Do(request)
	return response, errors.Trace(err)
}
