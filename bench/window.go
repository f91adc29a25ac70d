package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/standin/fault"
)

const (
	windowRounds = 10

	// memberPause is longer than the grant bound, so that the grant expires.
	memberPause = 3 * time.Second

	// deliveryGap is the time without a piece after which delivery is
	// considered interrupted. The engines send a token every millisecond.
	deliveryGap = 500 * time.Millisecond

	// windowTarget is the default grant bound.
	windowTarget = time.Second

	windowTokens   = 120_000
	windowDeadline = 5 * time.Minute
)

// oneGroupSize is the size of a deployment with one group, so that no other
// group can continue its streams.
var oneGroupSize = deploymentSize{nodes: 3, vms: 2, groupSize: 2, domains: 1, workspaces: 1}

// benchWindow measures the time after the failure of a member during which the
// group's pieces still reach a caller.
func benchWindow(ctx context.Context, table *table) error {
	running, err := deploy(ctx, table.bin, oneGroupSize)
	if err != nil {
		return errors.Trace(err)
	}
	defer running.stop()
	member, err := running.secondMember()
	if err != nil {
		return errors.Trace(err)
	}
	arrivals, err := running.startStream(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	var windows []time.Duration
	for range windowRounds {
		window, err := running.measureWindow(member, arrivals)
		if err != nil {
			return errors.Trace(err)
		}
		windows = append(windows, window)
	}
	slices.Sort(windows)
	table.addRow("from a member's failure to the last piece of its group",
		fmt.Sprintf("median %v, highest %v of %d", windows[len(windows)/2].Round(time.Millisecond),
			windows[len(windows)-1].Round(time.Millisecond), windowRounds),
		fmt.Sprintf("always within the grant bound of %v", windowTarget))
	return nil
}

// secondMember returns the address of the VM at rank 1 of the only group.
func (deployment *deployment) secondMember() (string, error) {
	status, err := deployment.status(deployment.nodes[0])
	if err != nil {
		return "", errors.Trace(err)
	}
	for _, vm := range deployment.vms {
		if vm.Name == status.Groups[0].Members[1] {
			return vm.Address, nil
		}
	}
	return "", errors.NotFoundf("VM %q", status.Groups[0].Members[1])
}

// startStream starts a long draft. It returns a channel of the times at which the
// pieces arrive.
func (deployment *deployment) startStream(ctx context.Context) (<-chan time.Time, error) {
	body := fmt.Sprintf(`{"prompt":"window","max_tokens":%d,"stream":true}`, windowTokens)
	url := "http://" + deployment.nodes[0].callers + "/v1/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set("Authorization", "Bearer "+workspaceKey(0))
	request.Header.Set("Lacewingspoke-Deadline", windowDeadline.String())
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, errors.Errorf("start a draft stream: response status %s", response.Status)
	}
	arrivals := make(chan time.Time, windowTokens)
	go readPieces(response.Body, arrivals)
	return arrivals, nil
}

// readPieces sends the arrival time of each piece and closes the channel at the
// end of the stream.
func readPieces(body io.ReadCloser, arrivals chan<- time.Time) {
	defer close(arrivals)
	defer body.Close()
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "data: ") {
			arrivals <- time.Now()
		}
	}
}

// measureWindow pauses the member and returns the time from the pause until the
// last piece before the gap in delivery. It returns once the stream has resumed.
func (deployment *deployment) measureWindow(member string, arrivals <-chan time.Time) (time.Duration, error) {
	failed := time.Now()
	err := deployment.post("http://"+member+"/control", fault.Order{Fault: fault.Pause, Duration: fault.Duration(memberPause)})
	if err != nil {
		return 0, errors.Trace(err)
	}
	last := failed
	for at := range arrivals {
		if at.Sub(last) > deliveryGap {
			return last.Sub(failed), nil
		}
		last = at
	}
	return 0, errors.New("the stream ended without a gap after the pause of a member")
}
