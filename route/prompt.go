package route

import "hash/maphash"

const (
	// minPrefixBytes is the length of the shortest prefix of a text that is recorded, and
	// maxPrefixBytes that of the longest. Each is twice as long as the one before, so that a
	// prompt has 11 prefixes at most and a shared beginning counts with at least half its
	// length.
	minPrefixBytes = 64
	maxPrefixBytes = 64 << 10

	// bytesPerToken is the usual length of a token of text.
	bytesPerToken = 4

	// maxPrefixParts bounds the recorded prefixes of a prompt that is given as parts.
	maxPrefixParts = 16
)

// promptSeed makes the sums of prefixes unpredictable, so that a caller cannot choose
// prompts whose prefixes are taken for those of others.
var promptSeed = maphash.MakeSeed()

// A PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// A Prompt is what the engine of a request has to read. The zero Prompt is one of which
// nothing is known: no target is preferred for it.
type Prompt struct {
	tokens   int
	prefixes []promptPrefix
}

// A promptPrefix is a beginning of a prompt with its number of tokens.
type promptPrefix struct {
	sum    uint64
	tokens int
}

// NewTextPrompt returns the prompt of a text, with an estimate of its tokens.
func NewTextPrompt(text string) Prompt {
	prompt := Prompt{tokens: len(text) / bytesPerToken}
	var sum maphash.Hash
	sum.SetSeed(promptSeed)
	from := 0
	for length := minPrefixBytes; length <= min(len(text), maxPrefixBytes); length *= 2 {
		sum.WriteString(text[from:length])
		from = length
		prompt.prefixes = append(prompt.prefixes, promptPrefix{sum: sum.Sum64(), tokens: length / bytesPerToken})
	}
	return prompt
}

// NewPartsPrompt returns the prompt that consists of parts in their order.
func NewPartsPrompt(parts []PromptPart) Prompt {
	var prompt Prompt
	var sum maphash.Hash
	sum.SetSeed(promptSeed)
	for index, part := range parts {
		prompt.tokens += max(0, part.Tokens)
		if index >= maxPrefixParts {
			continue
		}
		sum.WriteString(part.ID)
		// The separator keeps "ab", "c" apart from "a", "bc".
		sum.WriteByte(0)
		prompt.prefixes = append(prompt.prefixes, promptPrefix{sum: sum.Sum64(), tokens: prompt.tokens})
	}
	return prompt
}

// Tokens returns the number of tokens of the prompt, 0 if it is not known.
func (prompt Prompt) Tokens() int { return prompt.tokens }
