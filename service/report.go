package service

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// maxReportBytes bounds a report before it is decoded.
const maxReportBytes = 64 << 10

// State is the state of a service runner.
type State string

// The states of a service runner.
const (
	StateReady   State = "ready"
	StateLeaving State = "leaving"
)

// A Report is what a service runner says of itself.
type Report struct {
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	State   State `json:"state"`
}

// A Reporter reads the reports of service runners. Its methods may be called
// from any goroutine.
type Reporter struct{ client *http.Client }

// NewReporter returns a reporter.
func NewReporter() *Reporter {
	return &Reporter{client: &http.Client{Transport: &http.Transport{}}}
}

// Report reads the report of the runner at the address, IP:port, until the
// context ends. It returns an errors.NotValid error for a malformed report.
func (reporter *Reporter) Report(ctx context.Context, address string) (Report, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/report", nil)
	if err != nil {
		return Report{}, errors.Trace(err)
	}
	response, err := reporter.client.Do(request)
	if err != nil {
		// A connection that has gone silent is not used again.
		reporter.client.CloseIdleConnections()
		return Report{}, errors.Annotatef(err, "report of service runner %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Report{}, errors.NotValidf("report of service runner %s with status %d", address, response.StatusCode)
	}
	var report Report
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report); err != nil {
		return Report{}, errors.NewNotValid(err, "report of service runner "+address)
	}
	return report, nil
}
