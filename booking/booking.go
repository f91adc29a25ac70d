// Package booking decides what happens to a request that must run at most
// once.
//
// A node creates a claim in the platform's store before it sends the first
// byte and completes the claim with the answer. Any other request with the
// same key finds the claim and gets the first answer, "in progress", or
// Unknown. It never runs.
//
// # Two writes, not three
//
// A claim has no stored "sending" state between its creation and its answer.
// Such a state would need a third store call for each booking and would only
// tell apart a node that died between claim and send from one that died
// after it. That window is shorter than the store call itself, while the
// store's several hundred writes per second are the limit of the whole
// design: 240 writes per second at two per booking and 120 bookings per
// second would become 360. A stored claim therefore means "may have been
// sent". The node that owns it knows more: Ticket keeps the sending step in
// memory, and a claim that certainly was not sent is deleted, so that the
// caller can use its key again.
//
// # Lost answers of the store
//
// A write whose effect is not known is resolved by reading the claim and
// comparing the attempt id. Creating again with the same attempt id is safe:
// the create is conditional on absence, and only the owner of the attempt id
// that the store holds sends.
//
// A late create can take effect after its owner gave up. It leaves a claim
// that nobody sends under. Requests with this key then read "in progress" and
// later Unknown, although nothing ran: the error is on the safe side.
//
// The package does no input or output and reads no clock. Times in the stored
// form are wall-clock times, as several nodes read them; they only decide
// what a reader is told. Whether the owner may send is decided by Ticket on
// the owner's monotonic clock.
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
	// MaxAnswerBytes is the largest body that a claim keeps. A larger answer is
	// kept as a digest. The store takes 1 MB per value; base64 adds a third,
	// and the claims of a day have to fit in the store.
	MaxAnswerBytes = 64 << 10

	// SettleMargin is how long after a claim's expiry an operator has to wait.
	// It covers clocks that differ between nodes and the time that a request
	// which was sent just before the expiry still takes.
	SettleMargin = time.Minute

	// MaxKeyBytes bounds an idempotency key.
	MaxKeyBytes = 256
)

// State is the stored state of a claim.
type State string

// The stored states.
const (
	// StateClaimed means that the request may have been sent.
	StateClaimed State = "claimed"

	// StateFinished means that the answer is known.
	StateFinished State = "finished"

	// StateSettled means that an operator decided what became of the request.
	StateSettled State = "settled"
)

// A Claim is the stored form.
type Claim struct {
	State   State  `json:"state"`
	Attempt string `json:"attempt"`
	Node    string `json:"node"`
	Route   string `json:"route"`

	// RequestDigest is the hexadecimal SHA-256 of method, URI and body.
	RequestDigest string `json:"request-digest"`

	CreatedMillis int64 `json:"created-unix-ms"`

	// ExpiresMillis is when an unfinished claim turns from "in progress" to
	// Unknown.
	ExpiresMillis int64 `json:"expires-unix-ms"`

	// RemoveMillis tells operators when a finished or settled claim may be removed, 0 for
	// an unfinished one, which is never removed without an operator.
	RemoveMillis int64 `json:"remove-unix-ms,omitempty"`

	Answer     *Answer     `json:"answer,omitempty"`
	Settlement *Settlement `json:"settlement,omitempty"`
}

// An Answer is the target's first answer.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Location    string `json:"location,omitempty"`
	Body        []byte `json:"body,omitempty"`

	// BodyDigest is set in place of Body when the body is longer than
	// MaxAnswerBytes.
	BodyDigest string `json:"body-digest,omitempty"`
	BodyBytes  int64  `json:"body-bytes,omitempty"`
}

// A Settlement is an operator's decision about an unfinished claim.
type Settlement struct {
	// Ran says whether the operator found that the request ran.
	Ran           bool   `json:"ran"`
	Author        string `json:"author"`
	Reason        string `json:"reason"`
	SettledMillis int64  `json:"settled-unix-ms"`
}

// Key returns the store key of a claim.
func Key(workspace, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(idempotencyKey))
	return "booking/" + workspace + "/" + hex.EncodeToString(sum[:])
}

// RequestDigest identifies a request, so that a key that is used for two
// different requests is noticed.
func RequestDigest(method, uri string, body []byte) string {
	digest := sha256.New()
	digest.Write([]byte(method))
	digest.Write([]byte{0})
	digest.Write([]byte(uri))
	digest.Write([]byte{0})
	digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil))
}

// NewAnswer returns the stored form of an answer.
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
		// A claim holds only strings, numbers and bytes.
		panic(errors.Annotate(err, "claim"))
	}
	return data
}

// Decode reads the stored form. Its error is an errors.NotValid error.
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
	if err := claim.check(); err != nil {
		return Claim{}, err
	}
	return claim, nil
}

func (claim Claim) check() error {
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

// Settle returns the claim after an operator's decision. An unfinished claim
// can be settled only after its expiry, as its request may still be running.
// The caller writes it with the revision it read.
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

// Removable reports whether the claim may be removed from the store.
func (claim Claim) Removable(now time.Time) bool {
	return claim.RemoveMillis != 0 && now.UnixMilli() > claim.RemoveMillis
}
