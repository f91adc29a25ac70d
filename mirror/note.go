package mirror

import "time"

// A Note is a figure that one node saw and that others decide better with: the
// load that a target told in an answer. Notes travel with the questions to
// sources and their replies, so they reach the nodes of a failure domain within
// two questions and cost no call of their own.
type Note struct {
	Key   string
	Value int

	// At is when the figure was seen.
	At time.Time
}

// noteAge is how long a note is passed on. The figures that notes carry say
// little after a second.
const noteAge = time.Second

// A noteMessage is a note on its way between two nodes, whose clocks differ.
type noteMessage struct {
	Key       string `msgpack:"key"`
	Value     int    `msgpack:"value"`
	AgeMicros int64  `msgpack:"age-us"`
}

// Note takes a figure that this node saw now.
func (mirror *Mirror) Note(key string, value int) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.keep(Note{Key: key, Value: value, At: mirror.config.Now()})
}

// SetNoted sets what is called with the notes of other nodes.
func (mirror *Mirror) SetNoted(noted func(note Note)) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.noted = noted
}

// keep remembers the newest note of a key and reports whether it is one.
func (mirror *Mirror) keep(note Note) bool {
	if known, found := mirror.notes[note.Key]; found && !note.At.After(known.At) {
		return false
	}
	mirror.notes[note.Key] = note
	return true
}

// fresh returns the notes that are young enough to be passed on, and forgets the
// others.
func (mirror *Mirror) fresh() []noteMessage {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	now := mirror.config.Now()
	messages := make([]noteMessage, 0, len(mirror.notes))
	for key, note := range mirror.notes {
		age := now.Sub(note.At)
		if age > noteAge {
			delete(mirror.notes, key)
			continue
		}
		messages = append(messages, noteMessage{Key: key, Value: note.Value, AgeMicros: age.Microseconds()})
	}
	return messages
}

// take takes the notes of another node, which it sent after a time.
func (mirror *Mirror) take(messages []noteMessage, sentAfter time.Time) {
	mirror.mutex.Lock()
	noted := mirror.noted
	var news []Note
	for _, message := range messages {
		if message.AgeMicros < 0 || message.Key == "" || message.Value < 0 {
			continue
		}
		note := Note{Key: message.Key, Value: message.Value, At: sentAfter.Add(-time.Duration(message.AgeMicros) * time.Microsecond)}
		if mirror.keep(note) {
			news = append(news, note)
		}
	}
	mirror.mutex.Unlock()
	if noted == nil {
		return
	}
	for _, note := range news {
		noted(note)
	}
}
