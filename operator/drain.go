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
	addresses, err := operator.nodeAddresses(ctx)
	if err != nil {
		operator.warn("nodes in the store are not known: %v", err)
	}
	code := ExitFailed
	for _, address := range addresses {
		result, err := operator.postDrain(ctx, address, request)
		if err == nil {
			operator.printDrain(address, request, result)
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

// postDrain sends the drain to one node. It returns an errors.NotFound error if
// the target is unknown to the node, and an errors.NotValid error if the node
// rejects the request as malformed.
func (operator *Operator) postDrain(ctx context.Context, address string, request DrainRequest) (admin.DrainResult, error) {
	body, err := json.Marshal(admin.DrainRequest(request))
	if err != nil {
		return admin.DrainResult{}, errors.Trace(err)
	}
	reply, err := operator.client.Do(ctx, httpsend.Request{
		Method:        http.MethodPost,
		Address:       address,
		Path:          drainPath,
		Body:          body,
		ContentType:   contentTypeJSON,
		Timeout:       nodeTimeout,
		MaxReplyBytes: maxStatusBytes,
	})
	if err != nil {
		return admin.DrainResult{}, errors.Trace(err)
	}
	return decodeDrain(reply)
}

func decodeDrain(reply httpsend.Reply) (admin.DrainResult, error) {
	var result admin.DrainResult
	switch reply.Status {
	case http.StatusOK:
		err := json.Unmarshal(reply.Body, &result)
		return result, errors.Annotate(err, "decode drain result")
	case http.StatusNotFound:
		return result, errors.NewNotFound(replyError(reply), "")
	case http.StatusBadRequest:
		return result, errors.NewNotValid(replyError(reply), "")
	default:
		return result, replyError(reply)
	}
}

func (operator *Operator) printDrain(address string, request DrainRequest, result admin.DrainResult) {
	recorded := "audit entry is recorded"
	if !result.Recorded {
		recorded = "audit entry is not recorded yet, the node goes on trying"
	}
	operator.print("%s gets no new work; node %s told %d peers; %s", request.Target, address, result.Peers, recorded)
}
