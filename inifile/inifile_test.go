package inifile_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/inifile"
)

// TestParseReportsProblems guards against a malformed line that is ignored without
// a problem, and against a problem with a wrong line or text.
func TestParseReportsProblems(t *testing.T) {
	for _, test := range []struct {
		text string
		want string
	}{
		{"[a]\n[b\n", "f:2: [b: unclosed section header"},
		{"[]\n", "f:1: []: unclosed section header"},
		{"[a b c]\n", "f:1: [a b c]: want [KIND] or [KIND NAME]"},
		{"[a] b\n", "f:1: [a] b: text after the section header"},
		{"[a]\nkey\n", "f:2: line: want KEY = VALUE"},
		{"[a]\n= value\n", "f:2: line: want KEY = VALUE"},
		{"[a]\nkey: value\n", "f:2: line: want KEY = VALUE"},
		{"[a]\nkey = `open\n", "f:2: line: want KEY = VALUE"},
		{"key = value\n", "f:1: key: key outside of a section"},
		{"[a]\nk = 1\n\nk = 2\n", "f:4: k: duplicate key, first at line 2"},
		{"[a]\n[ a ]\n", "f:2: [a]: duplicate section, first at line 1"},
		{"[a]\nk = \x00\n", "f:2: line: control character"},
		{"[a]\nk = \xff\n", "f:2: line: not valid UTF-8"},
		{strings.Repeat(";", inifile.MaxFileBytes+1), "f:1: file: 1048577 bytes, more than 1048576"},
	} {
		_, problems := inifile.Parse("f", []byte(test.text))
		if assert.Len(t, problems, 1, "%.40q", test.text) {
			assert.Equal(t, test.want, problems[0].String())
		}
	}
}

// TestParseReadsValuesAndLines guards against a value that contains its quotes or
// comment, and against wrong line numbers after comments, blank lines and CRLF.
func TestParseReadsValuesAndLines(t *testing.T) {
	text := "\ufeff; comment\r\n\r\n[kind name] # comment [x]\r\nkey = \"a # b\" ; comment\r\n\tother=%(key)s\\\r\n[!kind other]\r\n"
	document, problems := inifile.Parse("f", []byte(text))
	require.Empty(t, problems)
	require.Len(t, document.Sections(), 2)
	section := document.Sections()[0]
	assert.Equal(t, "[kind name]", section.Header())
	assert.Equal(t, 3, section.Line())
	require.Len(t, section.Entries(), 2)
	assert.Equal(t, "a # b", section.Entries()[0].Value())
	assert.Equal(t, `%(key)s\`, section.Entries()[1].Value())
	assert.Equal(t, 5, section.Entries()[1].Line())
	assert.True(t, document.Sections()[1].Erase())
	assert.Equal(t, "[!kind other]", document.Sections()[1].Header())
}

// TestParseAndFormatValues guards against a value with a wrong unit or number, and
// against accepting malformed values.
func TestParseAndFormatValues(t *testing.T) {
	for text, want := range map[string]time.Duration{"250ms": 250 * time.Millisecond, "24h": 24 * time.Hour, "1h30m": 90 * time.Minute, "0s": 0} {
		duration, err := inifile.ParseDuration(text)
		require.NoError(t, err)
		assert.Equal(t, want, duration)
		again, err := inifile.ParseDuration(inifile.FormatDuration(duration))
		require.NoError(t, err)
		assert.Equal(t, duration, again)
	}
	for text, want := range map[string]int64{"0B": 0, "1B": 1, "3KiB": 3 << 10, "2GiB": 2 << 30, "8388607TiB": 8388607 << 40} {
		count, err := inifile.ParseBytes(text)
		require.NoError(t, err)
		assert.Equal(t, want, count)
		assert.Equal(t, text, inifile.FormatBytes(count))
	}
	for _, text := range []string{"", "5", "2GB", "2 GiB", "-1B", "1.5GiB", "8388608TiB", "+1B"} {
		_, err := inifile.ParseBytes(text)
		assert.Error(t, err, text)
	}
	for _, text := range []string{"", "5", "-1s", "1d", "1 s"} {
		_, err := inifile.ParseDuration(text)
		assert.Error(t, err, text)
	}
	for _, text := range []string{"", "localhost:1", "127.0.0.1", "[fe80::1%eth0]:1", "127.0.0.1:0", "0.0.0.0:1", "127.0.0.1:65536"} {
		_, err := inifile.ParseDialAddress(text)
		assert.Error(t, err, text)
	}
	for _, text := range []string{"", "-a", "a-", "A", "a_b", "a/b", strings.Repeat("a", 64)} {
		_, err := inifile.ParseName(text)
		assert.Error(t, err, text)
	}
}
