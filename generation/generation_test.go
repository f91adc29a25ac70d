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

// testFolder returns a folder whose content depends on the grant bound.
func testFolder(t testing.TB, bound string) (*folder.Folder, []folder.File) {
	t.Helper()
	files := []folder.File{{Name: "10.ini", Data: []byte("[policy]\ngrant-bound = " + bound + "\n")}}
	merged, problems := folder.Merge(files)
	require.Empty(t, problems)
	return merged, files
}

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

// TestBodyRoundTrip guards against an audit entry that loses a part.
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

// TestDecodeBodyRejects guards against a damaged body that a node adopts.
func TestDecodeBodyRejects(t *testing.T) {
	data, err := testBody(t, generation.Head{}, "c1", "900ms").Encode()
	require.NoError(t, err)
	for index := range data {
		damaged := append([]byte{}, data...)
		damaged[index] ^= 0x40
		body, err := generation.DecodeBody(damaged)
		if err == nil {
			// Damage to author, reason, time or a source file does not
			// change the configuration.
			assert.Equal(t, "900ms", body.Folder().Provenance()[3].Value()[:5])
		}
		_, err = generation.DecodeBody(data[:index])
		assert.Error(t, err, "cut at %d", index)
	}
	_, err = generation.DecodeBody(make([]byte, kvstore.MaxValueBytes+1))
	assert.Error(t, err)
}

// TestAdopter guards against a generation that goes back and against a second
// content for a held generation.
func TestAdopter(t *testing.T) {
	adopter := generation.NewAdopter()
	first := testBody(t, generation.Head{}, "c1", "900ms")
	second := testBody(t, first.Head(), "c2", "800ms")
	rival := testBody(t, first.Head(), "c3", "700ms")
	twin := testBody(t, first.Head(), "c4", "800ms")

	assert.Equal(t, generation.Adopt{Head: first.Head()}, adopter.Adopt(first))
	assert.Equal(t, generation.Adopt{Head: second.Head()}, adopter.Offer(second.Head()))
	assert.Equal(t, first, adopter.Body(), "an offer does not adopt")
	adopter.Adopt(second)
	assert.Equal(t, generation.Stale{Offered: first.Head(), Held: second.Head()}, adopter.Adopt(first))
	assert.Equal(t, generation.Conflict{Offered: rival.Head(), Held: second.Head()}, adopter.Adopt(rival))
	assert.Equal(t, generation.Same{Head: second.Head()}, adopter.Adopt(twin))
	assert.Equal(t, generation.Stale{Held: second.Head()}, adopter.Offer(generation.Head{}))
	assert.Equal(t, second, adopter.Body())

	data, err := rival.Encode()
	require.NoError(t, err)
	_, err = adopter.AdoptData(generation.Head{Generation: 9, Change: "c9", Digest: "d9"}, data)
	assert.Error(t, err, "body of another head")
}

// TestDecodeHead guards against a malformed head that counts as an early one.
func TestDecodeHead(t *testing.T) {
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
