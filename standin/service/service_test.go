package service_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/standin/fault"
	"lacewingspoke.org/lacewingspoke/standin/service"
)

// Guards against runs that are missing from the record: runs whose response was
// dropped, repeated runs, and runs in the state "leaving".
func TestEveryRunIsRecorded(t *testing.T) {
	standIn := service.New(service.Config{Name: "s"})
	server := httptest.NewServer(standIn)
	defer server.Close()
	book := func() (int, error) {
		response, err := http.Post(server.URL+"/bookings", "application/json", strings.NewReader(`{"plank":"oak"}`))
		if err != nil {
			return 0, err
		}
		response.Body.Close()
		return response.StatusCode, nil
	}
	status, err := book()
	require.NoError(t, err)
	assert.Equal(t, http.StatusCreated, status)
	require.NoError(t, standIn.Injector().Apply(fault.Order{Fault: fault.DropAnswer}))
	_, err = book()
	assert.Error(t, err)
	require.NoError(t, standIn.Injector().Apply(fault.Order{Fault: service.FaultLeave}))
	_, err = book()
	require.NoError(t, err)
	lines := standIn.Record()
	require.Len(t, lines, 3)
	assert.Equal(t, []string{"s/oak/1", "s/oak/2", "s/oak/3"}, []string{lines[0].Receipt, lines[1].Receipt, lines[2].Receipt})
	assert.Equal(t, []bool{false, false, true}, []bool{lines[0].Leaving, lines[1].Leaving, lines[2].Leaving})
	report, err := http.Get(server.URL + "/report")
	require.NoError(t, err)
	defer report.Body.Close()
	body, err := io.ReadAll(report.Body)
	require.NoError(t, err)
	assert.JSONEq(t, `{"running":0,"queued":0,"state":"leaving"}`, string(body))
}
