package generation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/generation"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

var testTime = time.Date(2026, 12, 4, 9, 30, 0, 0, time.UTC)

// testFolder returns a folder with the grant bound, and its source files. Folders
// with different grant bounds have different digests.
func testFolder(t testing.TB, bound string) (*folder.Folder, []folder.File) {
	t.Helper()
	files := []folder.File{{Name: "10.ini", Data: []byte("[policy]\ngrant-bound = " + bound + "\n")}}
	merged, problems := folder.Merge(files)
	require.Empty(t, problems)
	return merged, files
}

// testBody returns a body that replaces base.
func testBody(t testing.TB, base generation.Head, change, bound string) *generation.Body {
	t.Helper()
	merged, files := testFolder(t, bound)
	body, err := generation.NewBody(generation.BodyConfig{
		Generation: base.Generation + 1,
		Change:     change,
		Base:       base,
		Author:     "mirela",
		Reason:     "test",
		Time:       testTime,
		Folder:     merged,
		Files:      files,
	})
	require.NoError(t, err)
	return body
}

// TestBodyRoundTrip guards against a stored body that loses part of the
// configuration or of the audit entry.
func TestBodyRoundTrip(t *testing.T) {
	body := testBody(t, generation.Head{Generation: 4, Change: "c4", Digest: "d4"}, "c5", "900ms")
	data, err := body.Encode()
	require.NoError(t, err)
	decoded, err := generation.DecodeBody(data)
	require.NoError(t, err)
	assert.Equal(t, body.Head(), decoded.Head())
	assert.Equal(t, body.Base(), decoded.Base())
	assert.Equal(t, "mirela", decoded.Author())
	assert.Equal(t, "test", decoded.Reason())
	assert.Equal(t, testTime, decoded.Time())
	assert.Equal(t, body.Files(), decoded.Files())
	assert.Equal(t, body.Folder().Canonical(), decoded.Folder().Canonical())
	assert.Equal(t, "config/body/5/c5", decoded.Head().BodyKey())
}

// TestDecodeBodyRejectsDamage guards against a damaged body that decodes to a
// different configuration, which a node would then adopt.
func TestDecodeBodyRejectsDamage(t *testing.T) {
	data, err := testBody(t, generation.Head{}, "c1", "900ms").Encode()
	require.NoError(t, err)
	for index := range data {
		damaged := append([]byte{}, data...)
		damaged[index] ^= 0x40
		body, err := generation.DecodeBody(damaged)
		if err == nil {
			// The digest does not cover author, reason, time and source
			// files, but the configuration must be intact.
			assert.Equal(t, "900ms", body.Folder().Provenance()[3].Value()[:5])
		}
		_, err = generation.DecodeBody(data[:index])
		assert.Error(t, err, "cut at %d", index)
	}
	_, err = generation.DecodeBody(make([]byte, kvstore.MaxValueBytes+1))
	assert.Error(t, err)
}

// TestAdopterKeepsHighestGeneration guards against an adopter whose generation
// decreases or that replaces its configuration by another one of the same
// generation.
func TestAdopterKeepsHighestGeneration(t *testing.T) {
	adopter := generation.NewAdopter()
	first := testBody(t, generation.Head{}, "c1", "900ms")
	second := testBody(t, first.Head(), "c2", "800ms")
	rival := testBody(t, first.Head(), "c3", "700ms")
	twin := testBody(t, first.Head(), "c4", "800ms")

	assert.Equal(t, generation.Adopt{Head: first.Head()}, adopter.Adopt(first))
	assert.Equal(t, generation.Adopt{Head: second.Head()}, adopter.Offer(second.Head()))
	assert.Equal(t, first, adopter.Body(), "an offer does not adopt")
	adopter.Adopt(second)
	assert.Equal(t, generation.Stale{Offered: first.Head(), Current: second.Head()}, adopter.Adopt(first))
	assert.Equal(t, generation.Conflict{Offered: rival.Head(), Current: second.Head()}, adopter.Adopt(rival))
	assert.Equal(t, generation.Same{Head: second.Head()}, adopter.Adopt(twin))
	assert.Equal(t, generation.Stale{Current: second.Head()}, adopter.Offer(generation.Head{}))
	assert.Equal(t, second, adopter.Body())

	data, err := rival.Encode()
	require.NoError(t, err)
	_, err = adopter.AdoptData(generation.Head{Generation: 9, Change: "c9", Digest: "d9"}, data)
	assert.Error(t, err, "head differs from the expected one")
}

// TestDecodeHeadRejectsMalformed guards against a malformed head that decodes to a
// head with a low generation.
func TestDecodeHeadRejectsMalformed(t *testing.T) {
	head := generation.Head{Generation: 7, Change: "c", Digest: "d"}
	stored, err := head.Encode()
	require.NoError(t, err)
	decoded, err := generation.DecodeHead(stored)
	require.NoError(t, err)
	assert.Equal(t, head, decoded)
	for _, malformed := range []string{"", "{}", `{"generation":0,"change":"c","digest":"d"}`, `{"generation":-1}`} {
		_, err := generation.DecodeHead([]byte(malformed))
		assert.Error(t, err, malformed)
	}
}
