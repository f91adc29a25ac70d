package generation

import "github.com/juju/errors"

// A Decision is what a node does with an offered head. It is Adopt, Stale,
// Same or Conflict.
type Decision interface{ decision() }

// Adopt says that the offered configuration is newer than the held one.
type Adopt struct{ Head Head }

// Stale says that the node holds a higher generation than the offered one.
type Stale struct {
	Offered Head
	Held    Head
}

// Same says that the node holds the offered configuration already.
type Same struct{ Head Head }

// Conflict says that the offered head has the held generation and another
// digest. The node keeps what it holds; the next apply takes a generation
// above both.
type Conflict struct {
	Offered Head
	Held    Head
}

func (Adopt) decision()    {}
func (Stale) decision()    {}
func (Same) decision()     {}
func (Conflict) decision() {}

// An Adopter holds the configuration of one node. Its generation never
// decreases, also when the store comes back with an older state.
type Adopter struct {
	body *Body
}

// NewAdopter returns an adopter that holds no configuration.
func NewAdopter() *Adopter { return &Adopter{} }

// Body returns the held configuration, nil when there is none.
func (adopter *Adopter) Body() *Body { return adopter.body }

// Head returns the held head, the zero value when there is none.
func (adopter *Adopter) Head() Head {
	if adopter.body == nil {
		return Head{}
	}
	return adopter.body.Head()
}

// Offer decides about a head without adopting it.
func (adopter *Adopter) Offer(offered Head) Decision {
	held := adopter.Head()
	switch {
	case offered.Generation > held.Generation:
		return Adopt{Head: offered}
	case offered.Generation < held.Generation:
		return Stale{Offered: offered, Held: held}
	case offered.Digest != held.Digest:
		return Conflict{Offered: offered, Held: held}
	default:
		return Same{Head: held}
	}
}

// Adopt adopts the body when its generation is higher than the held one. The
// decision is Adopt exactly when the body is now held.
func (adopter *Adopter) Adopt(body *Body) Decision {
	decision := adopter.Offer(body.Head())
	if _, higher := decision.(Adopt); higher {
		adopter.body = body
	}
	return decision
}

// AdoptData is Adopt for a stored body. It returns an errors.NotValid error
// for a malformed body, or for one that belongs to another head than wanted,
// and leaves the held configuration as it is.
func (adopter *Adopter) AdoptData(wanted Head, data []byte) (Decision, error) {
	body, err := DecodeBody(data)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if body.Head() != wanted {
		return nil, errors.NotValidf("body of generation %d for a head of generation %d", body.Head().Generation, wanted.Generation)
	}
	return adopter.Adopt(body), nil
}
