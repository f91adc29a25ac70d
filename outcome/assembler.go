package outcome

import (
	"strings"

	"lacewingspoke.org/lacewingspoke/engine"
)

// MaxHeldPieces bounds the pieces of one answer that wait for an earlier one.
const MaxHeldPieces = 64

// A Verdict is what becomes of a piece. It is Deliver, Hold, Drop, Missing or
// End.
type Verdict interface{ verdict() }

// Deliver hands texts to the caller, in order.
type Deliver struct{ Texts []string }

// Hold keeps a piece until the ones before it arrive.
type Hold struct{}

// Drop discards a piece that must not reach the caller.
type Drop struct{ Cause DropCause }

// Missing says that the attempt cannot become whole: a piece is missing or
// the attempt contradicts what was delivered.
type Missing struct {
	// Index is the first missing piece.
	Index int
}

// End says that the attempt delivered every piece.
type End struct{ Count int }

func (Deliver) verdict() {}
func (Hold) verdict()    {}
func (Drop) verdict()    {}
func (Missing) verdict() {}
func (End) verdict()     {}

// DropCause says why a piece was dropped.
type DropCause string

// The causes of a drop.
const (
	// DropForeign is a piece of an attempt that never belonged to the request.
	DropForeign DropCause = "foreign"

	// DropLate is a piece of an earlier attempt or after the end.
	DropLate DropCause = "late"

	// DropRepeated is a piece that was delivered or is held already.
	DropRepeated DropCause = "repeated"
)

// An Assembler joins the pieces of one answer, over any number of attempts,
// into a sequence without gaps or repetitions. It is not safe for concurrent
// use.
type Assembler struct {
	current string
	earlier map[string]bool
	held    map[int]string
	next    int
	ended   bool
	text    strings.Builder
}

// NewAssembler returns an assembler that has delivered nothing.
func NewAssembler() *Assembler {
	return &Assembler{earlier: map[string]bool{}, held: map[int]string{}}
}

// Start makes attempt the only one whose pieces are accepted. Pieces that are
// held are discarded: the new attempt resumes at Next.
func (assembler *Assembler) Start(attempt string) {
	if assembler.current != "" {
		assembler.earlier[assembler.current] = true
	}
	assembler.current = attempt
	assembler.ended = false
	clear(assembler.held)
}

// Next returns the index of the next piece to deliver, which is the number of
// pieces delivered.
func (assembler *Assembler) Next() int { return assembler.next }

// Text returns the delivered text.
func (assembler *Assembler) Text() string { return assembler.text.String() }

// Bytes returns the length of the delivered text.
func (assembler *Assembler) Bytes() int { return assembler.text.Len() }

// Accept judges one piece.
func (assembler *Assembler) Accept(piece engine.Piece) Verdict {
	switch {
	case piece.Attempt != assembler.current && assembler.earlier[piece.Attempt]:
		return Drop{Cause: DropLate}
	case piece.Attempt != assembler.current:
		return Drop{Cause: DropForeign}
	case assembler.ended:
		return Drop{Cause: DropLate}
	case piece.Done:
		return assembler.finish(piece.Index)
	case piece.Index < assembler.next:
		return Drop{Cause: DropRepeated}
	case piece.Index > assembler.next:
		return assembler.hold(piece)
	default:
		return assembler.deliver(piece)
	}
}

func (assembler *Assembler) finish(count int) Verdict {
	assembler.ended = true
	if count != assembler.next {
		return Missing{Index: assembler.next}
	}
	return End{Count: count}
}

func (assembler *Assembler) hold(piece engine.Piece) Verdict {
	if _, repeated := assembler.held[piece.Index]; repeated {
		return Drop{Cause: DropRepeated}
	}
	if len(assembler.held) >= MaxHeldPieces {
		return Missing{Index: assembler.next}
	}
	assembler.held[piece.Index] = piece.Text
	return Hold{}
}

func (assembler *Assembler) deliver(piece engine.Piece) Verdict {
	texts := []string{piece.Text}
	assembler.take(piece.Text)
	for {
		text, found := assembler.held[assembler.next]
		if !found {
			return Deliver{Texts: texts}
		}
		delete(assembler.held, assembler.next)
		texts = append(texts, text)
		assembler.take(text)
	}
}

func (assembler *Assembler) take(text string) {
	assembler.text.WriteString(text)
	assembler.next++
}
