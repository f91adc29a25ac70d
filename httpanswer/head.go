package httpanswer

import (
	"strings"

	"github.com/juju/errors"
)

// statusForm is the form of a status line up to its reason: 9 stands for a digit, and 5 for the
// first one of a status.
const statusForm = "HTTP/1.9 599"

// maxShownBytes bounds the bytes of a name or of a status line that an error shows.
const maxShownBytes = 40

// A head is a status line and its fields, which are checked byte by byte. It holds no more than
// the beginning of one line.
type head struct {
	part headPart

	// line is the beginning of the status line, or of the current name, and length the number of
	// its bytes.
	line   [maxShownBytes]byte
	length int

	// carriageReturn is true after a carriage return, which only the end of the line may follow.
	carriageReturn bool

	// class is the first digit of the status, switching is true for 101.
	class     byte
	switching bool

	// oldVersion is true for HTTP/1.0, and encoded if the body has a transfer encoding.
	oldVersion, encoded bool
}

// A headPart is the part of a head that the next byte belongs to.
type headPart int

const (
	partStatus headPart = iota
	partLineStart
	partName
	partValue
)

// interim reports whether another head follows this one.
func (head *head) interim() bool { return head.class == '1' }

// next checks the next byte. It returns true at the end of the head, and an errors.NotValid error
// for a head that is no answer.
func (head *head) next(char byte) (ended bool, err error) {
	switch {
	case char == '\n':
		head.carriageReturn = false
		return head.endLine()
	case head.carriageReturn:
		return false, errors.NotValidf("answer with a carriage return in a line of its head")
	case char == '\r':
		head.carriageReturn = true
		return false, nil
	}
	switch head.part {
	case partStatus:
		return false, head.nextOfStatus(char)
	case partLineStart:
		return false, head.beginLine(char)
	case partName:
		return false, head.nextOfName(char)
	case partValue:
		// net/http checks the values.
	}
	return false, nil
}

// nextOfStatus checks a byte of the status line.
func (head *head) nextOfStatus(char byte) error {
	position := head.length
	head.keep(char)
	valid := false
	switch {
	case position < len(statusForm) && statusForm[position] == '9':
		valid = isDigit(char)
	case position < len(statusForm) && statusForm[position] == '5':
		valid = char >= '1' && char <= '5'
	case position < len(statusForm):
		valid = char == statusForm[position]
	case position == len(statusForm):
		valid = char == ' '
	default:
		valid = char == '\t' || char >= ' ' && char != 0x7f
	}
	if !valid {
		return head.invalidStatus()
	}
	return nil
}

// beginLine checks the first byte of a line after the status line.
func (head *head) beginLine(char byte) error {
	head.length = 0
	if char == ' ' || char == '\t' {
		// The line goes on with the value before it; net/http fails if there is none.
		head.part = partValue
		return nil
	}
	head.part = partName
	return head.nextOfName(char)
}

// nextOfName checks a byte of a field's name, or the colon after it.
func (head *head) nextOfName(char byte) error {
	switch {
	case char == ':' && head.length > 0:
		head.encoded = head.encoded || strings.EqualFold(string(head.line[:min(head.length, maxShownBytes)]), "Transfer-Encoding")
		head.part = partValue
		return nil
	case char == ':':
		return errors.NotValidf("answer with a field without a name")
	}
	head.keep(char)
	if !isNameChar(char) {
		return invalidName(string(head.line[:min(head.length, maxShownBytes)]))
	}
	return nil
}

// endLine handles the end of a line. It returns true if that was the last one.
func (head *head) endLine() (ended bool, err error) {
	switch head.part {
	case partStatus:
		if head.length < len(statusForm) {
			return false, head.invalidStatus()
		}
		head.class = head.line[len("HTTP/1.1 ")]
		head.switching = string(head.line[len("HTTP/1.1 "):len(statusForm)]) == "101"
		head.oldVersion = head.line[len("HTTP/1.")] == '0'
	case partLineStart:
		return true, head.check()
	case partName:
		return false, errors.NotValidf("answer with a line %q without a colon in its head", head.line[:min(head.length, maxShownBytes)])
	case partValue:
	}
	head.part = partLineStart
	return false, nil
}

// check checks a whole head.
func (head *head) check() error {
	switch {
	case head.switching:
		return errors.NotValidf("answer with status 101 to a request that asked for no other protocol")
	case head.oldVersion && head.encoded:
		return errors.NotValidf("answer of HTTP/1.0 with a transfer encoding")
	}
	return nil
}

func (head *head) keep(char byte) {
	if head.length < maxShownBytes {
		head.line[head.length] = char
	}
	head.length++
}

func (head *head) invalidStatus() error {
	return errors.NotValidf("answer with the status line %q", head.line[:min(head.length, maxShownBytes)])
}

func invalidName(name string) error {
	return errors.NotValidf("answer with a field name that begins with %q", name[:min(len(name), maxShownBytes)])
}

func isDigit(char byte) bool { return char >= '0' && char <= '9' }

// isNameChar reports whether a field's name may contain the character (RFC 9110, section 5.6.2).
func isNameChar(char byte) bool {
	return isDigit(char) || char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", char) >= 0
}
