package entry

import (
	"encoding/json"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/engine"
)

// Bounds of the sampling parameters.
const (
	maxTemperature   = 2
	maxPenalty       = 2
	maxStops         = 16
	maxStopBytes     = 256
	supportedChoices = 1
)

// samplingBody holds the sampling parameters of a draft request.
type samplingBody struct {
	Temperature      *float64        `json:"temperature"`
	TopP             *float64        `json:"top_p"`
	PresencePenalty  *float64        `json:"presence_penalty"`
	FrequencyPenalty *float64        `json:"frequency_penalty"`
	Seed             *int64          `json:"seed"`
	Stop             json.RawMessage `json:"stop"`
	Choices          *int            `json:"n"`
}

// parse validates the parameters and returns them for engines, nil if none is
// set. It returns an errors.NotValid error for a value out of range.
func (body samplingBody) parse() (*engine.Sampling, error) {
	if body.Choices != nil && *body.Choices != supportedChoices {
		return nil, errors.NotValidf("n = %d (only %d answer is given)", *body.Choices, supportedChoices)
	}
	for _, parameter := range []struct {
		name      string
		value     *float64
		low, high float64
	}{
		{"temperature", body.Temperature, 0, maxTemperature},
		{"top_p", body.TopP, 0, 1},
		{"presence_penalty", body.PresencePenalty, -maxPenalty, maxPenalty},
		{"frequency_penalty", body.FrequencyPenalty, -maxPenalty, maxPenalty},
	} {
		if parameter.value != nil && (*parameter.value < parameter.low || *parameter.value > parameter.high) {
			return nil, errors.NotValidf("%s outside %g to %g", parameter.name, parameter.low, parameter.high)
		}
	}
	stops, err := parseStops(body.Stop)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if body.empty() && len(stops) == 0 {
		return nil, nil
	}
	return &engine.Sampling{
		Temperature:      body.Temperature,
		TopP:             body.TopP,
		PresencePenalty:  body.PresencePenalty,
		FrequencyPenalty: body.FrequencyPenalty,
		Seed:             body.Seed,
		Stop:             stops,
	}, nil
}

func (body samplingBody) empty() bool {
	return body.Temperature == nil && body.TopP == nil && body.PresencePenalty == nil &&
		body.FrequencyPenalty == nil && body.Seed == nil
}

// parseStops decodes a stop text or a list of stop texts.
func parseStops(raw json.RawMessage) ([]string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return nil, nil
	}
	var one string
	if err := json.Unmarshal(raw, &one); err == nil {
		return checkStops([]string{one})
	}
	var many []string
	if err := json.Unmarshal(raw, &many); err != nil {
		return nil, errors.NotValidf("stop that is neither a text nor a list of texts")
	}
	return checkStops(many)
}

func checkStops(stops []string) ([]string, error) {
	if len(stops) > maxStops {
		return nil, errors.NotValidf("more than %d stop texts", maxStops)
	}
	for _, stop := range stops {
		if stop == "" || len(stop) > maxStopBytes {
			return nil, errors.NotValidf("stop text of %d bytes (want 1 to %d)", len(stop), maxStopBytes)
		}
	}
	return stops, nil
}
