package kvstore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/httpsend"
)

// An entryMessage is an Entry on the wire, where the value is in base64.
type entryMessage struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Lease    string `json:"lease"`

	// Created is not part of the protocol.
	Created uint64 `json:"-"`
}

type changesMessage struct {
	Revision uint64         `json:"revision"`
	Entries  []entryMessage `json:"entries"`
	Deleted  []string       `json:"deleted"`
}

func (message *changesMessage) entries() []Entry {
	entries := make([]Entry, len(message.Entries))
	for index, entry := range message.Entries {
		entries[index] = Entry(entry)
	}
	return entries
}

type revisionMessage struct {
	Revision uint64 `json:"revision"`
}

type leaseMessage struct {
	Lease string `json:"lease"`
}

type vmsMessage struct {
	VMs []vmMessage `json:"vms"`
}

type vmMessage struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	Incarnation   string `json:"incarnation"`
	FabricDomain  string `json:"fabric-domain"`
	FailureDomain string `json:"failure-domain"`
	Accelerators  int    `json:"accelerators"`
	State         string `json:"state"`
}

func (message *vmsMessage) vms() ([]VM, error) {
	vms := make([]VM, len(message.VMs))
	for index, entry := range message.VMs {
		state, err := parseVMState(entry.State)
		if err != nil {
			return nil, errors.Annotatef(err, "decode VM %s", entry.Name)
		}
		vms[index] = VM{
			Name:          entry.Name,
			Address:       entry.Address,
			Incarnation:   entry.Incarnation,
			FabricDomain:  entry.FabricDomain,
			FailureDomain: entry.FailureDomain,
			Accelerators:  entry.Accelerators,
			State:         state,
		}
	}
	return vms, nil
}

func parseVMState(text string) (VMState, error) {
	switch text {
	case "live":
		return VMLive, nil
	case "leaving":
		return VMLeaving, nil
	default:
		return 0, errors.NotValidf("VM state %q", text)
	}
}

// newPutOutcome returns the outcome of a write after its reply or error. Statuses
// that the protocol does not define are Unknown.
func newPutOutcome(reply httpsend.Reply, err error) PutOutcome {
	if err != nil && !httpsend.MayHaveBeenSent(err) {
		return Refused{Err: err}
	}
	if err != nil {
		return Unknown{Err: err}
	}
	switch reply.Status {
	case http.StatusOK, http.StatusConflict:
		return decodeOutcome(reply)
	case http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Refused{Err: statusError(reply)}
	default:
		return Unknown{Err: statusError(reply)}
	}
}

// decodeOutcome decodes the reply to a write that took effect or conflicted. If
// the reply cannot be decoded, the write counts as Unknown, because its caller
// needs the revision.
func decodeOutcome(reply httpsend.Reply) PutOutcome {
	var answer revisionMessage
	if err := json.Unmarshal(reply.Body, &answer); err != nil {
		return Unknown{Err: errors.NewNotValid(err, "decode response to a write")}
	}
	if reply.Status == http.StatusConflict {
		return Conflict(answer)
	}
	return Written(answer)
}

// statusError returns the error of a status: errors.NotFound for 404,
// errors.NotValid for 410, errors.QuotaLimitExceeded for 429 and an error
// without a type for the rest.
func statusError(reply httpsend.Reply) error {
	switch reply.Status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return errors.NotFoundf("key or lease (status 404)")
	case http.StatusGone:
		return errors.NotValidf("watch revision (status 410)")
	case http.StatusTooManyRequests:
		return errors.QuotaLimitExceededf("rate of the platform")
	default:
		return errors.Errorf("status %d", reply.Status)
	}
}

// defaultRetryAfter is the wait after a refusal without a valid Retry-After
// header.
const defaultRetryAfter = time.Second

func retryAfter(reply httpsend.Reply) time.Duration {
	seconds, err := strconv.ParseFloat(reply.Header.Get("Retry-After"), 64)
	if err != nil || seconds <= 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}
