package httpanswer

import "github.com/juju/errors"

// statusForm is the form of a status line up to its reason: 9 stands for a digit, and 5 for the
// first one of a status.
const statusForm = "HTTP/1.9 599"

// maxShownBytes bounds the bytes of a name or of a status line that an error shows.
const maxShownBytes = 40

// A head is a status line, which is checked byte by byte, and its fields. It holds no more than
// the beginning of the status line.
type head struct {
	part headPart

	// line is the beginning of the status line, and length the number of its bytes.
	line   [maxShownBytes]byte
	length int

	// class is the first digit of the status, switching is true for 101.
	class     byte
	switching bool
}

// A headPart is the part of a head that the next byte belongs to.
type headPart int

const (
	partStatus headPart = iota
	partLineStart
	partField
)

// interim reports whether another head follows this one.
func (head *head) interim() bool { return head.class == '1' }

// next checks the next byte. It returns true at the end of the head, and an errors.NotValid error
// for a head that is no answer.
func (head *head) next(char byte) (ended bool, err error) {
	switch {
	case char == '\n':
		return head.endLine()
	case char == '\r':
		return false, nil
	}
	switch head.part {
	case partStatus:
		return false, head.nextOfStatus(char)
	case partLineStart:
		head.part = partField
	case partField:
		// net/http checks the fields.
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

// endLine handles the end of a line. It returns true if that was the last one.
func (head *head) endLine() (ended bool, err error) {
	switch head.part {
	case partStatus:
		if head.length < len(statusForm) {
			return false, head.invalidStatus()
		}
		head.class = head.line[len("HTTP/1.1 ")]
		head.switching = string(head.line[len("HTTP/1.1 "):len(statusForm)]) == "101"
	case partLineStart:
		return true, head.check()
	case partField:
	}
	head.part = partLineStart
	return false, nil
}

// check checks a whole head.
func (head *head) check() error {
	if head.switching {
		return errors.NotValidf("answer with status 101 to a request that asked for no other protocol")
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

func isDigit(char byte) bool { return char >= '0' && char <= '9' }
