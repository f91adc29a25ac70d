package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/httpsend"
)

const (
	// nodeCallTimeout is far above the time of a call within the fleet, and below
	// the time after which an announcement expires by itself.
	nodeCallTimeout = time.Second

	// maxNodeReplyBytes bounds a reply. The largest one names the parts of a question.
	maxNodeReplyBytes = admin.MaxRequestBytes
)

// nodeCalls makes the calls to the admin addresses of other nodes.
type nodeCalls struct{ sender *httpsend.Client }

func newNodeCalls() nodeCalls {
	return nodeCalls{sender: httpsend.New(httpsend.Config{DialTimeout: nodeCallTimeout, IdlePerAddress: 1})}
}

// ReportStalled reports a stalled group to the leader of its fabric domain.
func (calls nodeCalls) ReportStalled(ctx context.Context, address, group string) error {
	return errors.Annotate(calls.post(ctx, address, admin.StalledPath, admin.StalledReport{Group: group}, nil), "report of a stalled group")
}

// ReportEndings reports ended targets to a node that decides on parts of prompts.
func (calls nodeCalls) ReportEndings(ctx context.Context, address string, endings []admin.EndingReport) error {
	return errors.Annotate(calls.post(ctx, address, admin.EndingsPath, admin.EndingsReport{Endings: endings}, nil), "report of ended targets")
}

// AskParts returns how long ago each part was last sound at a node.
func (calls nodeCalls) AskParts(ctx context.Context, address string, parts []string) (map[string]time.Duration, error) {
	var reply admin.PartsReply
	if err := calls.post(ctx, address, admin.PartsPath, admin.PartsQuestion{Parts: parts}, &reply); err != nil {
		return nil, errors.Annotate(err, "question about parts")
	}
	ages := make(map[string]time.Duration, len(reply.AgesMillis))
	for part, millis := range reply.AgesMillis {
		ages[part] = time.Duration(max(0, millis)) * time.Millisecond
	}
	return ages, nil
}

// AskReached returns which of the targets a node reaches.
func (calls nodeCalls) AskReached(ctx context.Context, address string, targets []string) ([]string, error) {
	var reply admin.ReachedReply
	if err := calls.post(ctx, address, admin.ReachedPath, admin.ReachedQuestion{Targets: targets}, &reply); err != nil {
		return nil, errors.Annotate(err, "question about targets")
	}
	return reply.Targets, nil
}

// TellDecision sends a node the record of a part that is put in quarantine.
func (calls nodeCalls) TellDecision(ctx context.Context, address string, record []byte) error {
	return errors.Annotate(calls.post(ctx, address, admin.DecisionPath, json.RawMessage(record), nil), "telling a decision")
}

// post sends a body and decodes the reply, if there is one.
func (calls nodeCalls) post(ctx context.Context, address, path string, body, decoded any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Trace(err)
	}
	reply, err := calls.sender.Do(ctx, httpsend.Request{
		Method:        http.MethodPost,
		Address:       address,
		Path:          path,
		Body:          data,
		ContentType:   "application/json",
		Timeout:       nodeCallTimeout,
		MaxReplyBytes: maxNodeReplyBytes,
	})
	if err != nil {
		return errors.Trace(err)
	}
	switch reply.Status {
	case http.StatusNoContent:
		return nil
	case http.StatusOK:
		return errors.Trace(json.Unmarshal(reply.Body, decoded))
	}
	return errors.Errorf("status %d", reply.Status)
}
