package engine

import (
	"fmt"
	"hash/fnv"
	"strings"
)

// Token returns the text of one token of the answer to a prompt.
func Token(prompt string, index int) string {
	hash := fnv.New64a()
	// Writing to a hash never returns an error.
	_, _ = fmt.Fprintf(hash, "%d\x00%s", index, prompt)
	return fmt.Sprintf("%08x ", uint32(hash.Sum64()>>16))
}

// Answer returns the text of the first count tokens of the answer to a prompt.
func Answer(prompt string, count int) string {
	var text strings.Builder
	for index := range count {
		text.WriteString(Token(prompt, index))
	}
	return text.String()
}
