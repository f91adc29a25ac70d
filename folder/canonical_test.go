package folder_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lacewingspoke.org/lacewingspoke/folder"
)

// TestCanonicalRoundTrip guards against a value that changes when it is stored and
// decoded, so that the nodes would compute a different digest than apply.
func TestCanonicalRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-z0-9]([a-z0-9-]{0,10}[a-z0-9])?`)
		duration := rapid.StringMatching(`[1-9][0-9]{0,3}(ns|us|ms|s|m)`)
		text := fmt.Sprintf(`
[policy]
downtime-weight = %v
stranded-weight = %v
report-interval = 1ns
grant-bound = %v
weight-rate = %d%s
booking-retention = 900h
[target-class c]
order-delay = %s
[group g]
model = %s
version = %s
size = %d
replicas = %d
weight-bytes = 3KiB
target-class = c
[service s]
addresses = [::ffff:127.0.0.1]:%d %s
[workspace w]
deadline = %s
key-digests = sha256:%064x,sha256:%064x
[route r]
workspace = w
kind = service
service = s
path-prefix = /%s
`,
			rapid.Float64Range(0.001, 1e9).Draw(t, "downtime"), rapid.Float64Range(0, 1).Draw(t, "stranded"),
			rapid.StringMatching(`[2-9][0-9]{0,5}(us|ms)`).Draw(t, "bound"), rapid.IntRange(1, 9999).Draw(t, "rate"),
			rapid.SampledFrom([]string{"B", "KiB", "MiB", "GiB"}).Draw(t, "unit"),
			duration.Draw(t, "delay"), name.Draw(t, "model"), rapid.StringMatching(`[A-Za-z0-9._:/@+-]{1,20}`).Draw(t, "version"),
			rapid.IntRange(1, 1024).Draw(t, "size"), rapid.IntRange(0, 100).Draw(t, "replicas"),
			rapid.IntRange(1, 65535).Draw(t, "port"), name.Draw(t, "domain"), duration.Draw(t, "deadline"),
			rapid.Uint64().Draw(t, "digest"), 0, name.Draw(t, "path"))
		merged, problems := folder.Merge([]folder.File{{Name: "10.ini", Data: []byte(text)}})
		if merged == nil {
			// The only possible problem is that the drawn digest is 0 and
			// therefore equal to the second one.
			require.Len(t, problems, 1)
			require.Contains(t, problems[0].Text(), "duplicate digest")
			return
		}
		decoded, err := folder.Decode(merged.Canonical())
		require.NoError(t, err)
		assert.Equal(t, string(merged.Canonical()), string(decoded.Canonical()))
		assert.Equal(t, merged.Digest(), decoded.Digest())
		assert.Equal(t, merged.Workspaces(), decoded.Workspaces())
		assert.Equal(t, merged.Policy(), decoded.Policy())
	})
}

// TestDigestIgnoresSpelling guards against a digest that depends on comments, order
// or spelling, so that an edit without effect would create a new generation.
func TestDigestIgnoresSpelling(t *testing.T) {
	one := mustMerge(t, folder.File{Name: "a.ini", Data: []byte("[policy]\ngrant-bound = 1000ms ; one second\nspread-time = 3s\n")})
	two := mustMerge(t,
		folder.File{Name: "b.ini", Data: []byte("# comment\r\n[policy]\r\nspread-time=\"3000ms\"\r\n")},
		folder.File{Name: "c.ini", Data: []byte("\ufeff[policy]\ngrant-bound = 1s\n")})
	assert.Equal(t, one.Digest(), two.Digest())
}
