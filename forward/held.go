package forward

import (
	"time"

	"lacewingspoke.org/lacewingspoke/route"
)

// groupRequest returns the request for a group that is not excluded. Only where the
// configuration says that engines keep prompts, what they hold is weighed.
func (exchange *exchange) groupRequest(excluded map[string]bool) route.GroupRequest {
	request := route.GroupRequest{Service: exchange.service.Name, Spec: exchange.caller.Model, Excluded: excluded, Reasons: exchange.explained}
	if !exchange.keepsPrompts() {
		return request
	}
	engine := exchange.service.Engine
	pace := exchange.pace()
	request.Prompt = route.NewPartsPrompt(exchange.caller.promptParts())
	request.Pace = route.Pace{ReadPerToken: pace.ReadPerToken, PlaceTime: pace.Pass * time.Duration(pace.Events), Slots: pace.Slots, Room: engine.CacheTokens}
	return request
}

// keepsPrompts reports whether the engines of the request keep prompts.
func (exchange *exchange) keepsPrompts() bool {
	return exchange.service.Engine != nil && exchange.service.Engine.KeepsPrompts
}

// promptParts returns the parts of the prompt with their tokens. The last part belongs to the
// request or to its session.
func (caller CallerHeaders) promptParts() []route.PromptPart {
	parts := make([]route.PromptPart, 0, len(caller.PromptParts))
	for index, id := range caller.PromptParts {
		part := route.PromptPart{ID: id}
		if index < len(caller.PartTokens) {
			part.Tokens = caller.PartTokens[index]
		}
		parts = append(parts, part)
	}
	return parts
}
