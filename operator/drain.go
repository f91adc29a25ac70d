package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/httpsend"
)

// DrainRequest holds the parameters of Drain.
type DrainRequest struct {
	// Target is a VM's name or a service runner's IP:port.
	Target string
	Author string
	Reason string
}

// Drain requests from one node that a target gets no new work; the node passes
// the drain on to its peers. If the request fails, Drain tries the next node
// unless the request was malformed. A drain is idempotent, so it does no harm if
// several nodes carry it out.
func (operator *Operator) Drain(ctx context.Context, request DrainRequest) ExitCode {
	return operator.tryNodes(ctx, func(address string) error {
		var result admin.DrainResult
		if err := operator.post(ctx, address, drainPath, admin.DrainRequest(request), &result); err != nil {
			return err
		}
		operator.printDrain(address, request, result)
		return nil
	})
}

// tryNodes makes a call to one node after the other until one succeeds or rejects the
// call as malformed.
func (operator *Operator) tryNodes(ctx context.Context, call func(address string) error) ExitCode {
	return operator.tryAddresses(operator.knownNodes(ctx), call)
}

// knownNodes returns the admin addresses of all nodes that are known.
func (operator *Operator) knownNodes(ctx context.Context) []string {
	addresses, err := operator.nodeAddresses(ctx)
	if err != nil {
		operator.warn("nodes in the store are not known: %v", err)
	}
	return addresses
}

// tryAddresses is tryNodes for the nodes at addresses.
func (operator *Operator) tryAddresses(addresses []string, call func(address string) error) ExitCode {
	code := ExitFailed
	for _, address := range addresses {
		err := call(address)
		if err == nil {
			return ExitDone
		}
		operator.warn("node %s: %v", address, err)
		if errors.Is(err, errors.NotValid) {
			return ExitRejected
		}
		if errors.Is(err, errors.NotFound) {
			code = ExitRejected
		}
	}
	if len(addresses) == 0 {
		operator.warn("no node is known; give --node or --store")
	}
	return code
}

// post sends a request to one node and decodes the result. It returns an errors.NotFound
// error if the node does not know the subject, and an errors.NotValid error if it rejects
// the request as malformed.
func (operator *Operator) post(ctx context.Context, address, path string, request, result any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Trace(err)
	}
	reply, err := operator.client.Do(ctx, httpsend.Request{
		Method:        http.MethodPost,
		Address:       address,
		Path:          path,
		Body:          body,
		ContentType:   contentTypeJSON,
		Timeout:       nodeTimeout,
		MaxReplyBytes: maxStatusBytes,
	})
	if err != nil {
		return errors.Trace(err)
	}
	switch reply.Status {
	case http.StatusOK:
		return errors.Annotate(json.Unmarshal(reply.Body, result), "decode result")
	case http.StatusNotFound:
		return errors.NewNotFound(replyError(reply), "")
	case http.StatusBadRequest:
		return errors.NewNotValid(replyError(reply), "")
	default:
		return replyError(reply)
	}
}

func (operator *Operator) printDrain(address string, request DrainRequest, result admin.DrainResult) {
	recorded := "audit entry is recorded"
	if !result.Recorded {
		recorded = "audit entry is not recorded yet, the node goes on trying"
	}
	operator.print("%s gets no new work; node %s told %d peers; %s", request.Target, address, result.Peers, recorded)
}
