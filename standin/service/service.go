// Package service is a small stand-in for a booking service that records every
// run. Running a booking twice has a visible effect: the plank is booked twice.
//
// # Usage
//
//	stand := service.New(service.Config{Name: "bookings-1"})
//	server := httptest.NewServer(stand)
//
// Faults are ordered over POST /control, see package fault. Besides those of
// the fault package, "leave" changes the reported state to leaving.
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

// FaultLeave makes the service report that it is leaving.
const FaultLeave fault.Kind = "leave"

const (
	maxBodyBytes = 1 << 20
	stateReady   = "ready"
	stateLeaving = "leaving"
)

// A Config configures a Service.
type Config struct {
	Name string

	// WorkTime is how long a booking takes after it was recorded.
	WorkTime time.Duration

	// Record receives the record as JSON lines; it is kept in memory as well.
	Record io.Writer

	// Injector applies faults; by default the Service creates its own.
	Injector *fault.Injector
}

// A Line is one run in the record. It is written before the booking is
// answered.
type Line struct {
	Time    time.Time `json:"time"`
	Service string    `json:"service"`
	Plank   string    `json:"plank"`
	Receipt string    `json:"receipt"`

	// Leaving says that the service had reported that it is leaving.
	Leaving bool `json:"leaving,omitempty"`
}

type booking struct {
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

// A Service is an http.Handler that serves the protocol.
type Service struct {
	config  Config
	handler http.Handler

	mu       sync.Mutex
	lines    []Line
	receipts map[string][]string
	running  int
	leaving  bool
}

// New returns a Service.
func New(config Config) *Service {
	if config.Injector == nil {
		config.Injector = fault.New()
	}
	service := &Service{config: config, receipts: map[string][]string{}}
	config.Injector.Extend(service.applyFault)
	service.handler = config.Injector.Wrap(service.routes())
	return service
}

// ServeHTTP serves the protocol.
func (service *Service) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	service.handler.ServeHTTP(writer, request)
}

// Injector returns the fault injector.
func (service *Service) Injector() *fault.Injector { return service.config.Injector }

// Record returns the runs so far.
func (service *Service) Record() []Line {
	service.mu.Lock()
	defer service.mu.Unlock()
	return append([]Line(nil), service.lines...)
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
	// A failed write means that the client has gone.
	_ = json.NewEncoder(writer).Encode(body)
}

func (service *Service) postBooking(writer http.ResponseWriter, request *http.Request) {
	decoder := json.NewDecoder(io.LimitReader(request.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	var wanted booking
	if err := decoder.Decode(&wanted); err != nil || wanted.Plank == "" {
		http.Error(writer, "body is not a booking", http.StatusBadRequest)
		return
	}
	receipt := service.book(wanted.Plank)
	if service.config.WorkTime > 0 {
		// The work goes on when the client has gone: its effect is recorded.
		<-time.After(service.config.WorkTime)
	}
	service.finish()
	writeJSON(writer, http.StatusCreated, receiptAnswer{receipt})
}

func (service *Service) book(plank string) string {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.running++
	receipt := fmt.Sprintf("%s/%s/%d", service.config.Name, plank, len(service.lines)+1)
	line := Line{
		Time: time.Now(), Service: service.config.Name,
		Plank: plank, Receipt: receipt, Leaving: service.leaving,
	}
	service.lines = append(service.lines, line)
	service.receipts[plank] = append(service.receipts[plank], receipt)
	if service.config.Record == nil {
		return receipt
	}
	if err := json.NewEncoder(service.config.Record).Encode(line); err != nil {
		// A record with holes would hide faults from the checker.
		panic(err)
	}
	return receipt
}

func (service *Service) finish() {
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
