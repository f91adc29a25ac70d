// Package booking implements the at-most-once protocol for requests that carry
// an idempotency key.
//
// A node creates a claim in the platform's store before it sends the first
// byte of the request, and completes the claim with the target's answer. Any
// other request with the same key finds the claim and receives the first
// answer, "in progress", or Unknown. It is never sent to a target.
//
// # Two writes per booking
//
// A claim has no stored "sending" state between its creation and its answer.
// Such a state would need a third store call for each booking and would only
// distinguish a node that crashed between claim and send from one that crashed
// after the send. That window is shorter than the store call itself, while the
// store's limit of several hundred writes per second is the bottleneck of the
// whole design: 120 bookings per second need 240 writes per second with two
// writes each, and 360 with three. A stored claim therefore means "may have
// been sent". The owning node has more information: Ticket tracks in memory
// whether sending has started, and a claim that was certainly not sent is
// deleted, so that the caller can use its key again.
//
// # Store writes with an unknown effect
//
// When the response to a write is lost, the owner reads the claim and compares
// the attempt id. Repeating a create with the same attempt id is safe: the
// create is conditional on the absence of the key, and only the owner of the
// stored attempt id sends.
//
// A delayed create can take effect after its owner gave up. It leaves a claim
// for which no request is ever sent. Requests with this key then read "in
// progress" and later Unknown, although nothing ran. This is the safe
// direction, because the request is still not run twice.
//
// The package performs no I/O and reads no clock. Times in the stored form are
// wall-clock times, because several nodes read them; they only determine the
// reply to repeated requests. Ticket decides whether the owner may send, on the
// owner's monotonic clock.
//
// # Usage
//
//	ticket := booking.NewTicket(booking.TicketConfig{…}, now)
//	put := store.Put(ctx, ticket.CreateRequest())
//	switch step := ticket.AfterCreate(put).(type) {
//	case booking.Send:    // ticket.MaySend(now), then send
//	case booking.Read:    // store.Get, then ticket.AfterRead
//	case booking.Reject:  // not run
//	}
package booking

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

const (
	// MaxAnswerBytes is the largest answer body stored in a claim; only the
	// digest of a larger body is stored. The store accepts values up to 1 MB,
	// base64 adds a third, and the claims of a day have to fit in the store.
	MaxAnswerBytes = 64 << 10

	// SettleMargin is how long an operator has to wait after a claim's expiry
	// before settling it. It covers clock skew between nodes and the run time
	// of a request that was sent just before the expiry.
	SettleMargin = time.Minute

	// MaxKeyBytes is the maximum length of an idempotency key.
	MaxKeyBytes = 256
)

// State is the stored state of a claim.
type State string

// The stored states.
const (
	// StateClaimed means that the request may have been sent.
	StateClaimed State = "claimed"

	// StateFinished means that the claim contains the target's answer.
	StateFinished State = "finished"

	// StateSettled means that an operator recorded whether the request ran.
	StateSettled State = "settled"
)

// A Claim is the stored record of a booking.
type Claim struct {
	State   State  `json:"state"`
	Attempt string `json:"attempt"`
	Node    string `json:"node"`
	Route   string `json:"route"`

	// RequestDigest is the hexadecimal SHA-256 of method, URI and body.
	RequestDigest string `json:"request-digest"`

	CreatedMillis int64 `json:"created-unix-ms"`

	// ExpiresMillis is the time after which an unfinished claim reads as
	// Unknown instead of "in progress".
	ExpiresMillis int64 `json:"expires-unix-ms"`

	// RemoveMillis is the time after which a finished or settled claim may be
	// removed. It is 0 for an unfinished claim, which an operator must settle
	// first unless its owner deletes it unsent.
	RemoveMillis int64 `json:"remove-unix-ms,omitempty"`

	Answer     *Answer     `json:"answer,omitempty"`
	Settlement *Settlement `json:"settlement,omitempty"`
}

// An Answer is the stored form of the target's first response.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Location    string `json:"location,omitempty"`
	Body        []byte `json:"body,omitempty"`

	// BodyDigest is the hexadecimal SHA-256 of the body, set instead of Body
	// when the body is longer than MaxAnswerBytes.
	BodyDigest string `json:"body-digest,omitempty"`
	BodyBytes  int64  `json:"body-bytes,omitempty"`
}

// A Settlement is an operator's decision about an unfinished claim.
type Settlement struct {
	// Ran is true if the operator found that the request ran.
	Ran           bool   `json:"ran"`
	Author        string `json:"author"`
	Reason        string `json:"reason"`
	SettledMillis int64  `json:"settled-unix-ms"`
}

// Key returns the store key of the claim for an idempotency key.
func Key(workspace, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(idempotencyKey))
	return "booking/" + workspace + "/" + hex.EncodeToString(sum[:])
}

// RequestDigest returns a digest that identifies a request, so that reuse of a
// key for a different request is detected.
func RequestDigest(method, uri string, body []byte) string {
	digest := sha256.New()
	digest.Write([]byte(method))
	digest.Write([]byte{0})
	digest.Write([]byte(uri))
	digest.Write([]byte{0})
	digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil))
}

// NewAnswer returns the stored form of a target's response.
func NewAnswer(status int, header http.Header, body []byte) Answer {
	answer := Answer{
		Status:      status,
		ContentType: header.Get("Content-Type"),
		Location:    header.Get("Location"),
	}
	if len(body) <= MaxAnswerBytes {
		answer.Body = body
		return answer
	}
	sum := sha256.Sum256(body)
	answer.BodyDigest = hex.EncodeToString(sum[:])
	answer.BodyBytes = int64(len(body))
	return answer
}

// Encode returns the stored form of a claim.
func (claim Claim) Encode() []byte {
	data, err := json.Marshal(claim)
	if err != nil {
		// Marshal cannot fail: a claim contains only strings, numbers, booleans
		// and bytes.
		panic(errors.Annotate(err, "encode claim"))
	}
	return data
}

// Decode parses the stored form of a claim. It returns an errors.NotValid error
// for malformed data.
func Decode(data []byte) (Claim, error) {
	if len(data) > kvstore.MaxValueBytes {
		return Claim{}, errors.NotValidf("claim of %d bytes", len(data))
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var claim Claim
	if err := decoder.Decode(&claim); err != nil {
		return Claim{}, errors.NewNotValid(err, "claim")
	}
	if err := claim.validate(); err != nil {
		return Claim{}, err
	}
	return claim, nil
}

func (claim Claim) validate() error {
	switch {
	case claim.Attempt == "":
		return errors.NotValidf("claim without attempt")
	case claim.State == StateClaimed:
		return nil
	case claim.State == StateFinished && claim.Answer != nil:
		return nil
	case claim.State == StateSettled && claim.Settlement != nil:
		return nil
	default:
		return errors.NotValidf("claim in state %q", claim.State)
	}
}

// Settle returns the claim with an operator's decision. Only an unfinished
// claim can be settled, and only SettleMargin after its expiry, because its
// request may still be running until then. The caller writes the result on
// condition of the revision that it read. Settle returns an errors.NotValid
// error if the claim cannot be settled.
func (claim Claim) Settle(settlement Settlement, now time.Time, retention time.Duration) (Claim, error) {
	if claim.State != StateClaimed {
		return Claim{}, errors.NotValidf("settlement of a claim in state %q", claim.State)
	}
	if now.UnixMilli() <= claim.ExpiresMillis+SettleMargin.Milliseconds() {
		return Claim{}, errors.NotValidf("settlement earlier than %s after the claim's expiry", SettleMargin)
	}
	settlement.SettledMillis = now.UnixMilli()
	claim.State = StateSettled
	claim.Settlement = &settlement
	claim.RemoveMillis = now.Add(retention).UnixMilli()
	return claim, nil
}

// Removable reports whether the retention of the claim has ended, so that it
// may be removed from the store.
func (claim Claim) Removable(now time.Time) bool {
	return claim.RemoveMillis != 0 && now.UnixMilli() > claim.RemoveMillis
}
