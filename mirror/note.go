package mirror

import "time"

// A Note is a figure that one node observed and that helps other nodes choose a
// target: the load that a target reported in a response. Notes are sent with the
// requests to sources and with the replies. They reach the other nodes of a
// failure domain within two such requests and need no calls of their own.
type Note struct {
	Key   string
	Value int

	// At is when the figure was observed.
	At time.Time
}

// maxNoteAge is the age up to which a note is passed on. A load figure is of
// little use after a second.
const maxNoteAge = time.Second

// A noteMessage is the encoding of a note between two nodes. It contains the age
// of the note instead of its time, because the nodes' clocks differ.
type noteMessage struct {
	Key       string `msgpack:"key"`
	Value     int    `msgpack:"value"`
	AgeMicros int64  `msgpack:"age-us"`
}

// AddNote records a figure that this node observes now.
func (mirror *Mirror) AddNote(key string, value int) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.storeNote(Note{Key: key, Value: value, At: mirror.config.Now()})
}

// SetNoteHandler sets the function that is called with the notes of other nodes.
func (mirror *Mirror) SetNoteHandler(handler func(note Note)) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.onNote = handler
}

// storeNote stores a note if it is the newest one of its key, and reports whether
// it is.
func (mirror *Mirror) storeNote(note Note) bool {
	if known, found := mirror.notes[note.Key]; found && !note.At.After(known.At) {
		return false
	}
	mirror.notes[note.Key] = note
	return true
}

// recentNotes returns the notes of at most maxNoteAge and deletes the others.
func (mirror *Mirror) recentNotes() []noteMessage {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	now := mirror.config.Now()
	messages := make([]noteMessage, 0, len(mirror.notes))
	for key, note := range mirror.notes {
		age := now.Sub(note.At)
		if age > maxNoteAge {
			delete(mirror.notes, key)
			continue
		}
		messages = append(messages, noteMessage{Key: key, Value: note.Value, AgeMicros: age.Microseconds()})
	}
	return messages
}

// receiveNotes records the notes of another node, which it sent no earlier than
// sentAfter.
func (mirror *Mirror) receiveNotes(messages []noteMessage, sentAfter time.Time) {
	mirror.mutex.Lock()
	onNote := mirror.onNote
	var newer []Note
	for _, message := range messages {
		if message.AgeMicros < 0 || message.Key == "" || message.Value < 0 {
			continue
		}
		note := Note{Key: message.Key, Value: message.Value, At: sentAfter.Add(-time.Duration(message.AgeMicros) * time.Microsecond)}
		if mirror.storeNote(note) {
			newer = append(newer, note)
		}
	}
	mirror.mutex.Unlock()
	if onNote == nil {
		return
	}
	for _, note := range newer {
		onNote(note)
	}
}
