package generation

// An Outcome is the final result of an apply. It is Accepted, Unchanged, Lost,
// NotApplied or Unresolved.
type Outcome interface{ outcome() }

// Accepted means that the configuration was accepted.
type Accepted struct {
	Head Head

	// Current is the store's head at the last read. It differs from Head when
	// another apply has since replaced this configuration.
	Current Head
}

// Unchanged means that the store's head already has this content, so the apply
// did not replace it.
type Unchanged struct{ Head Head }

// Lost means that another apply was accepted first, or that the required base is
// not current, and that this configuration was not accepted.
type Lost struct {
	Winner Head

	// Body is the winner's audit entry, or nil when it could not be read.
	Body *Body
}

// NotApplied means that the configuration was not accepted and that no pending
// write can still make it current.
type NotApplied struct{ Err error }

// Unresolved means that the outcome is not known: the configuration may have
// been accepted, or a pending write may still make it current. Another Apply
// with the same Change and with Resume set to Head.Generation resolves it.
type Unresolved struct {
	Head Head
	Err  error
}

func (Accepted) outcome()   {}
func (Unchanged) outcome()  {}
func (Lost) outcome()       {}
func (NotApplied) outcome() {}
func (Unresolved) outcome() {}
