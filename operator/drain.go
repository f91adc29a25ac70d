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

// Drain tells a node that a target gets no new work; the node tells the
// others. A drain can be repeated without harm, so the next node is asked
// when one does not answer.
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

// postDrain asks one node. It returns an errors.NotFound error when the node
// does not know the target and an errors.NotValid error for a bad request.
func (operator *Operator) postDrain(ctx context.Context, address string, request DrainRequest) (admin.DrainResult, error) {
	body, err := json.Marshal(admin.DrainRequest(request))
	if err != nil {
		return admin.DrainResult{}, errors.Trace(err)
	}
	reply, err := operator.caller.Do(ctx, httpsend.Request{
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
		return result, errors.Annotate(err, "drain result")
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
