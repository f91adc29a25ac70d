// Package service is a small stand-in for a booking service that records every
// run. A booking is not idempotent: if it runs twice, the plank is booked twice
// and has two receipts.
//
// # Usage
//
//	standIn := service.New(service.Config{Name: "bookings-1"})
//	server := httptest.NewServer(standIn)
//
// Faults are started with POST /control, see package fault. In addition to the
// faults of that package, "leave" changes the reported state to "leaving".
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/standin/fault"
)

// FaultLeave makes the service report the state "leaving".
const FaultLeave fault.Kind = "leave"

const (
	maxBodyBytes = 1 << 20
	stateReady   = "ready"
	stateLeaving = "leaving"
)

// A Config configures a Service.
type Config struct {
	// Name is the name of the service in the record and in receipts.
	Name string

	// WorkTime is the time between the record of a booking and its response.
	WorkTime time.Duration

	// Record receives the record as JSON lines, in addition to the copy in
	// memory. Nil turns it off.
	Record io.Writer

	// Injector applies the faults. By default the Service creates one.
	Injector *fault.Injector
}

// A RecordLine is one run in the record. It is written before the response to the
// booking is sent.
type RecordLine struct {
	Time    time.Time `json:"time"`
	Service string    `json:"service"`
	Plank   string    `json:"plank"`
	Receipt string    `json:"receipt"`

	// Leaving reports whether the state of the service was "leaving" at the
	// time of the run.
	Leaving bool `json:"leaving,omitempty"`
}

type bookingRequest struct {
	Plank string `json:"plank"`
}

type receiptAnswer struct {
	Receipt string `json:"receipt"`
}

type plankAnswer struct {
	Plank    string   `json:"plank"`
	Receipts []string `json:"receipts"`
}

type reportAnswer struct {
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
	State   string `json:"state"`
}

// A Service is an http.Handler that serves the booking protocol.
type Service struct {
	config  Config
	handler http.Handler

	mu       sync.Mutex
	lines    []RecordLine
	receipts map[string][]string
	running  int
	leaving  bool
}

// New returns a Service in the state "ready", without bookings.
func New(config Config) *Service {
	if config.Injector == nil {
		config.Injector = fault.New()
	}
	service := &Service{config: config, receipts: map[string][]string{}}
	config.Injector.Extend(service.applyFault)
	service.handler = config.Injector.Wrap(service.routes())
	return service
}

// ServeHTTP serves the booking protocol and the control paths.
func (service *Service) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	service.handler.ServeHTTP(writer, request)
}

// Injector returns the fault injector of the service.
func (service *Service) Injector() *fault.Injector { return service.config.Injector }

// Record returns the lines recorded so far.
func (service *Service) Record() []RecordLine {
	service.mu.Lock()
	defer service.mu.Unlock()
	return append([]RecordLine(nil), service.lines...)
}

func (service *Service) routes() http.Handler {
	router := mux.NewRouter()
	router.Methods(http.MethodPost).Path("/bookings").HandlerFunc(service.postBooking)
	router.Methods(http.MethodGet).Path("/planks/{plank}").HandlerFunc(service.getPlank)
	router.Methods(http.MethodGet).Path("/report").HandlerFunc(service.getReport)
	router.Methods(http.MethodGet).Path("/record").HandlerFunc(service.getRecord)
	return router
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(writer).Encode(body)
}

func (service *Service) postBooking(writer http.ResponseWriter, request *http.Request) {
	decoder := json.NewDecoder(io.LimitReader(request.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	var body bookingRequest
	if err := decoder.Decode(&body); err != nil || body.Plank == "" {
		http.Error(writer, "body is not a booking", http.StatusBadRequest)
		return
	}
	receipt := service.recordBooking(body.Plank)
	if service.config.WorkTime > 0 {
		// The work continues if the client disconnects, because its effect has
		// already been recorded.
		<-time.After(service.config.WorkTime)
	}
	service.finishBooking()
	writeJSON(writer, http.StatusCreated, receiptAnswer{receipt})
}

func (service *Service) recordBooking(plank string) string {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.running++
	receipt := fmt.Sprintf("%s/%s/%d", service.config.Name, plank, len(service.lines)+1)
	line := RecordLine{
		Time: time.Now(), Service: service.config.Name,
		Plank: plank, Receipt: receipt, Leaving: service.leaving,
	}
	service.lines = append(service.lines, line)
	service.receipts[plank] = append(service.receipts[plank], receipt)
	if service.config.Record == nil {
		return receipt
	}
	if err := json.NewEncoder(service.config.Record).Encode(line); err != nil {
		// An incomplete record would hide faults from the checker.
		panic(err)
	}
	return receipt
}

func (service *Service) finishBooking() {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.running--
}

func (service *Service) getPlank(writer http.ResponseWriter, request *http.Request) {
	plank := mux.Vars(request)["plank"]
	service.mu.Lock()
	receipts := append([]string{}, service.receipts[plank]...)
	service.mu.Unlock()
	writeJSON(writer, http.StatusOK, plankAnswer{plank, receipts})
}

func (service *Service) getReport(writer http.ResponseWriter, _ *http.Request) {
	service.mu.Lock()
	answer := reportAnswer{Running: service.running, State: stateReady}
	if service.leaving {
		answer.State = stateLeaving
	}
	service.mu.Unlock()
	writeJSON(writer, http.StatusOK, answer)
}

func (service *Service) getRecord(writer http.ResponseWriter, _ *http.Request) {
	encoder := json.NewEncoder(writer)
	for _, line := range service.Record() {
		if encoder.Encode(line) != nil {
			return
		}
	}
}

func (service *Service) applyFault(order fault.Order) error {
	service.mu.Lock()
	defer service.mu.Unlock()
	switch order.Fault {
	case FaultLeave:
		service.leaving = true
	case fault.Clear:
		service.leaving = false
	default:
		return errors.NotValidf("fault %q", order.Fault)
	}
	return nil
}
