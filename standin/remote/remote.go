// Package remote calls the HTTP interfaces of running stand-ins and nodes.
//
// # Usage
//
//	err := remote.Post(client, "http://127.0.0.1:7000/control", fault.Order{Fault: fault.Outage})
package remote

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// maxDetailBytes limits how much of a response body an error contains.
const maxDetailBytes = 4 << 10

// Post sends a JSON body. If the response is not a success, the error contains
// its status and the beginning of its body.
func Post(client *http.Client, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Trace(err)
	}
	response, err := client.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		detail, _ := io.ReadAll(io.LimitReader(response.Body, maxDetailBytes))
		return errors.Errorf("post to %s: %s: %s", url, response.Status, detail)
	}
	return nil
}

// Get decodes the JSON body at url into target.
func Get(client *http.Client, url string, target any) error {
	response, err := client.Get(url)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	return errors.Annotate(json.NewDecoder(response.Body).Decode(target), url)
}
