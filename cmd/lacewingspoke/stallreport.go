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
	// stallReportTimeout is far above the time of a call within the fleet, and below
	// the time after which an announcement expires by itself.
	stallReportTimeout = time.Second

	// maxStallReplyBytes bounds the reply, which has a body only if it is an error.
	maxStallReplyBytes = 4 << 10
)

// A stallReporter reports stalled groups to the leaders of their fabric domains.
type stallReporter struct{ sender *httpsend.Client }

func newStallReporter() stallReporter {
	return stallReporter{sender: httpsend.New(httpsend.Config{DialTimeout: stallReportTimeout, IdlePerAddress: 1})}
}

// Report reports one group to the node at an admin address.
func (reporter stallReporter) Report(ctx context.Context, address, group string) error {
	body, err := json.Marshal(admin.StalledReport{Group: group})
	if err != nil {
		return errors.Trace(err)
	}
	reply, err := reporter.sender.Do(ctx, httpsend.Request{
		Method:        http.MethodPost,
		Address:       address,
		Path:          admin.StalledPath,
		Body:          body,
		ContentType:   "application/json",
		Timeout:       stallReportTimeout,
		MaxReplyBytes: maxStallReplyBytes,
	})
	if err != nil {
		return errors.Trace(err)
	}
	if reply.Status != http.StatusNoContent {
		return errors.Errorf("report of a stalled group: status %d", reply.Status)
	}
	return nil
}
