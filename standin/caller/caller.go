// Package caller sends requests as a caller of the system does and keeps what
// it was told, for package checker.
//
// Prompts and planks are meant to be unique for each request, so that a run in
// a target's record can be traced to its request.
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

// Kind is what a request asks for.
type Kind string

// The kinds of request.
const (
	KindDraft   Kind = "draft"
	KindBooking Kind = "booking"
	KindLookup  Kind = "lookup"
)

// The outcomes that a caller may be told. A caller whose connection broke was
// told nothing.
const (
	ToldNothing  = ""
	ToldComplete = "complete"
	ToldNotRun   = "not-run"
	ToldUnknown  = "unknown"
)

const (
	doneMarker     = "[DONE]"
	headerReplay   = "Lacewingspoke-Replay"
	maxAnswerBytes = 16 << 20
)

// A Result is one request and what its caller was told.
type Result struct {
	Kind Kind `json:"kind"`

	// Prompt and MaxTokens are of drafts.
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"max-tokens,omitempty"`

	// Plank is of bookings and lookups, Key of bookings with a key.
	Plank string `json:"plank,omitempty"`
	Key   string `json:"key,omitempty"`

	Status int    `json:"status"`
	Told   string `json:"told"`

	// Text is the text received so far. Ended says that the answer came with
	// its end: the final marker of a stream or a body that is whole.
	Text  string `json:"text,omitempty"`
	Ended bool   `json:"ended"`

	// Receipts are the receipts of a booking or a lookup.
	Receipts []string `json:"receipts,omitempty"`

	// Replay says that the answer is the one of an earlier request.
	Replay bool `json:"replay,omitempty"`

	// Error is why the request or the answer broke off.
	Error string `json:"error,omitempty"`
}

// A Config configures a Client.
type Config struct {
	// Address is the IP:port for callers.
	Address string

	// Key is the caller's key.
	Key string

	// Deadline is sent as the request's deadline when it is not empty.
	Deadline string
}

// A Client sends requests, each on a new connection so that it is not tied to
// one node of a balancer.
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

	// Progress is called after each event of a stream with the number of
	// events so far.
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
	result.Told = response.Header.Get(outcome.Header)
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		err = result.readStream(response, draft.Progress)
	} else {
		err = result.readDraft(response)
	}
	result.note(err)
	return result
}

func (result *Result) note(err error) {
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
		if err := result.add([]byte(data)); err != nil {
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
	// Trailers are known once the body has been read.
	result.Told = response.Trailer.Get(outcome.Header)
	return nil
}

func (result *Result) add(data []byte) error {
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
		return result.unread(data, err)
	}
	result.Ended = true
	return result.add(data)
}

// unread keeps the beginning of an answer that is an error.
func (result *Result) unread(data []byte, err error) error {
	if err != nil {
		return err
	}
	return errors.Errorf("%s", bytes.TrimSpace(data))
}

// readAnswer notes what a response says and reads a JSON body of the wanted
// status into target. It reports whether the answer is whole.
func (result *Result) readAnswer(response *http.Response, wanted int, what string, target any) bool {
	defer response.Body.Close()
	result.Status = response.StatusCode
	result.Told = response.Header.Get(outcome.Header)
	result.Replay = response.Header.Get(headerReplay) != ""
	data, err := readBody(response)
	if err != nil || response.StatusCode != wanted {
		result.note(result.unread(data, err))
		return false
	}
	if err := json.Unmarshal(data, target); err != nil {
		result.note(errors.Annotate(err, what))
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

// Book sends a booking; the key may be empty.
func (client *Client) Book(ctx context.Context, plank, key string) Result {
	result := Result{Kind: KindBooking, Plank: plank, Key: key}
	response, err := client.send(ctx, http.MethodPost, "/bookings", key, bookingBody{plank})
	if err != nil {
		result.Error = err.Error()
		return result
	}
	var receipt receiptBody
	if result.readAnswer(response, http.StatusCreated, "receipt", &receipt) {
		result.Receipts = []string{receipt.Receipt}
	}
	return result
}

type plankBody struct {
	Plank    string   `json:"plank"`
	Receipts []string `json:"receipts"`
}

// Look asks for the receipts of a plank. Runners do not share their bookings,
// so the answer holds those of one runner.
func (client *Client) Look(ctx context.Context, plank string) Result {
	result := Result{Kind: KindLookup, Plank: plank}
	response, err := client.send(ctx, http.MethodGet, "/planks/"+plank, "", nil)
	if err != nil {
		result.Error = err.Error()
		return result
	}
	var found plankBody
	if result.readAnswer(response, http.StatusOK, "plank", &found) {
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
