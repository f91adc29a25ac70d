package service

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/httpanswer"
	"lacewingspoke.org/lacewingspoke/httpsend"
)

// maxReportBytes is the maximum number of bytes of a report that are decoded.
const maxReportBytes = 64 << 10

// State is the state of a service runner.
type State string

// The states of a service runner.
const (
	StateReady   State = "ready"
	StateLeaving State = "leaving"
)

// A Report is the load and state that a service runner reports.
type Report struct {
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	State   State `json:"state"`
}

// A ReportClient requests the reports of service runners. It is safe for
// concurrent use.
type ReportClient struct{ httpClient *http.Client }

// NewReportClient returns a client that can request the report of any runner.
func NewReportClient() *ReportClient {
	return &ReportClient{httpClient: &http.Client{Transport: httpanswer.NewTransport(&http.Transport{MaxResponseHeaderBytes: httpsend.MaxHeadBytes})}}
}

// Report requests the report of the runner at address, an IP:port. The context
// bounds the whole call. Report returns an errors.NotValid error for a malformed
// report or a status other than 200.
func (client *ReportClient) Report(ctx context.Context, address string) (Report, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/report", nil)
	if err != nil {
		return Report{}, errors.Trace(err)
	}
	response, err := client.httpClient.Do(request)
	if err != nil {
		// An idle connection may be stalled as well and must not be used again.
		client.httpClient.CloseIdleConnections()
		return Report{}, errors.Annotatef(err, "request report of service runner %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Report{}, errors.NotValidf("report of service runner %s with status %d", address, response.StatusCode)
	}
	var report Report
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report); err != nil {
		return Report{}, errors.NewNotValid(err, "decode report of service runner "+address)
	}
	return report, nil
}
