package outcome

import (
	"strings"

	"lacewingspoke.org/lacewingspoke/engine"
)

// MaxHeldPieces bounds the pieces of one answer that are held because a piece
// before them has not arrived.
const MaxHeldPieces = 64

// A Verdict is the decision of an Assembler about a piece. It is Deliver, Hold,
// Drop, Missing or End.
type Verdict interface{ verdict() }

// Deliver means that Texts are to be delivered to the caller, in order.
type Deliver struct{ Texts []string }

// Hold means that the assembler keeps the piece until all pieces before it have
// arrived.
type Hold struct{}

// Drop means that the piece is discarded and must not be delivered.
type Drop struct{ Cause DropCause }

// Missing means that the attempt cannot complete the answer: it ended with a
// number of pieces that differs from the number delivered, or more than
// MaxHeldPieces pieces wait for a missing one.
type Missing struct {
	// Index is the index of the first piece that was not delivered.
	Index int
}

// End means that the answer is complete, with Count pieces.
type End struct{ Count int }

func (Deliver) verdict() {}
func (Hold) verdict()    {}
func (Drop) verdict()    {}
func (Missing) verdict() {}
func (End) verdict()     {}

// DropCause is the reason why a piece is dropped.
type DropCause string

// The causes of a drop.
const (
	// DropForeign means that the piece belongs to an attempt that was never
	// started for the request.
	DropForeign DropCause = "foreign"

	// DropLate means that the piece belongs to an earlier attempt or arrived
	// after the end.
	DropLate DropCause = "late"

	// DropRepeated means that a piece with the same index was already delivered
	// or is held.
	DropRepeated DropCause = "repeated"
)

// An Assembler joins the pieces of one answer, which may come from any number of
// attempts, into a sequence without gaps or repetitions. It is not safe for
// concurrent use.
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

// Start makes attempt the only one whose pieces are accepted. Held pieces are
// discarded, because the new attempt resumes at Next.
func (assembler *Assembler) Start(attempt string) {
	if assembler.current != "" {
		assembler.earlier[assembler.current] = true
	}
	assembler.current = attempt
	assembler.ended = false
	clear(assembler.held)
}

// Next returns the index of the next piece to deliver, which equals the number
// of delivered pieces.
func (assembler *Assembler) Next() int { return assembler.next }

// Text returns the delivered text.
func (assembler *Assembler) Text() string { return assembler.text.String() }

// Bytes returns the length of the delivered text in bytes.
func (assembler *Assembler) Bytes() int { return assembler.text.Len() }

// Accept processes one piece and returns the verdict on it.
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
	assembler.appendText(piece.Text)
	for {
		text, found := assembler.held[assembler.next]
		if !found {
			return Deliver{Texts: texts}
		}
		delete(assembler.held, assembler.next)
		texts = append(texts, text)
		assembler.appendText(text)
	}
}

func (assembler *Assembler) appendText(text string) {
	assembler.text.WriteString(text)
	assembler.next++
}
