package generation

// An Outcome is the end of an apply. It is Accepted, Unchanged, Lost,
// NotApplied or Unresolved.
type Outcome interface{ outcome() }

// Accepted says that the configuration was accepted.
type Accepted struct {
	Head Head

	// Current is the head that was read last. It differs from Head when
	// another apply has replaced this configuration meanwhile.
	Current Head
}

// Unchanged says that the store's head already has this content, so that
// nothing was written.
type Unchanged struct{ Head Head }

// Lost says that another apply was accepted first and nothing of this one is
// in force.
type Lost struct {
	Winner Head

	// Body is the winner's audit entry, nil when it could not be read.
	Body *Body
}

// NotApplied says that the configuration was not accepted and will not be.
type NotApplied struct{ Err error }

// Unresolved says that the configuration may have been accepted or may still
// be. A further Apply with the same Change resolves it.
type Unresolved struct {
	Head Head
	Err  error
}

func (Accepted) outcome()   {}
func (Unchanged) outcome()  {}
func (Lost) outcome()       {}
func (NotApplied) outcome() {}
func (Unresolved) outcome() {}
