package generation

import "github.com/juju/errors"

// A Decision is the result of comparing an offered head with the node's current
// one. It is Adopt, Stale, Same or Conflict.
type Decision interface{ decision() }

// Adopt means that the offered head has a higher generation than the current
// one, so the node should adopt its configuration.
type Adopt struct{ Head Head }

// Stale means that the offered head has a lower generation than the current
// one.
type Stale struct {
	Offered Head
	Current Head
}

// Same means that the node already has the offered configuration.
type Same struct{ Head Head }

// Conflict means that the offered head has the current generation but a
// different digest. The node keeps its configuration; the next apply resolves
// the conflict by using a generation above both.
type Conflict struct {
	Offered Head
	Current Head
}

func (Adopt) decision()    {}
func (Stale) decision()    {}
func (Same) decision()     {}
func (Conflict) decision() {}

// An Adopter holds the current configuration of one node. The generation never
// decreases, even when the store is restored to an older state.
type Adopter struct {
	body *Body
}

// NewAdopter returns an adopter without a configuration.
func NewAdopter() *Adopter { return &Adopter{} }

// Body returns the current configuration, or nil when there is none.
func (adopter *Adopter) Body() *Body { return adopter.body }

// Head returns the head of the current configuration, or the zero value when
// there is none.
func (adopter *Adopter) Head() Head {
	if adopter.body == nil {
		return Head{}
	}
	return adopter.body.Head()
}

// Offer compares a head with the current one, without adopting it.
func (adopter *Adopter) Offer(offered Head) Decision {
	current := adopter.Head()
	switch {
	case offered.Generation > current.Generation:
		return Adopt{Head: offered}
	case offered.Generation < current.Generation:
		return Stale{Offered: offered, Current: current}
	case offered.Digest != current.Digest:
		return Conflict{Offered: offered, Current: current}
	default:
		return Same{Head: current}
	}
}

// Adopt makes the body the current configuration if its generation is higher
// than the current one. It returns an Adopt decision if and only if it did so.
func (adopter *Adopter) Adopt(body *Body) Decision {
	decision := adopter.Offer(body.Head())
	if _, higher := decision.(Adopt); higher {
		adopter.body = body
	}
	return decision
}

// AdoptData decodes a stored body and passes it to Adopt. It returns an
// errors.NotValid error, and keeps the current configuration, when the body is
// malformed or its head differs from the expected one.
func (adopter *Adopter) AdoptData(expected Head, data []byte) (Decision, error) {
	body, err := DecodeBody(data)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if body.Head() != expected {
		return nil, errors.NotValidf("body of generation %d (its head differs from the expected one of generation %d)", body.Head().Generation, expected.Generation)
	}
	return adopter.Adopt(body), nil
}
