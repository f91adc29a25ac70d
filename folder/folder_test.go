package folder_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// readDir returns the INI files of a directory.
func readDir(t *testing.T, directory string) []folder.File {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(directory, "*.ini"))
	require.NoError(t, err)
	var files []folder.File
	for _, path := range paths {
		data, err := os.ReadFile(path)
		require.NoError(t, err)
		files = append(files, folder.File{Name: filepath.Base(path), Data: data})
	}
	return files
}

func readExample(t *testing.T) []folder.File {
	t.Helper()
	return readDir(t, "../examples/folder")
}

func mustMerge(t *testing.T, files ...folder.File) *folder.Folder {
	t.Helper()
	merged, problems := folder.Merge(files)
	require.Empty(t, problems)
	return merged
}

// TestMergeTakeoverReplacesOwner guards against an override that is incomplete, so
// that a key, route or limit of the earlier owner remains after a take-over.
func TestMergeTakeoverReplacesOwner(t *testing.T) {
	files := append(readDir(t, "../examples/takeover"), readExample(t)...)
	before := mustMerge(t, readExample(t)...)
	after := mustMerge(t, files...)

	require.Len(t, before.Workspaces(), 3)
	require.Len(t, after.Workspaces(), 2)
	old, taken := before.Workspaces()[0], after.Workspaces()[0]
	assert.Equal(t, "delfin", taken.Name)
	assert.NotEqual(t, old.KeyDigests, taken.KeyDigests)
	assert.Equal(t, 4, taken.Weight)
	assert.Equal(t, 64, taken.MaxInFlight, "an erased key has its default value")
	assert.Equal(t, before.Workspaces()[1], after.Workspaces()[1], "workspace farul is unchanged")
	var routes []string
	for _, route := range after.Routes() {
		routes = append(routes, route.Name)
	}
	assert.Equal(t, []string{"delfin-drafts", "farul-bookings", "farul-drafts", "farul-planks"}, routes)
	assert.NotEqual(t, before.Digest(), after.Digest())
}

// TestMergeReportsAllProblems guards against a problem that prevents another one
// from being reported, and against a problem with a wrong file or line.
func TestMergeReportsAllProblems(t *testing.T) {
	files := readDir(t, "testdata/faults")
	merged, problems := folder.Merge(files)
	assert.Nil(t, merged)
	var lines []string
	for _, problem := range problems {
		lines = append(lines, problem.String())
	}
	golden, err := os.ReadFile("testdata/faults.golden")
	require.NoError(t, err)
	assert.Equal(t, string(golden), strings.Join(lines, "\n")+"\n")
}

// TestMergeIgnoresInputOrder guards against a result that depends on the order in
// which the directory was read instead of on the file names.
func TestMergeIgnoresInputOrder(t *testing.T) {
	files := readExample(t)
	forward := mustMerge(t, files...)
	reversed := make([]folder.File, 0, len(files))
	for index := len(files) - 1; index >= 0; index-- {
		reversed = append(reversed, files[index])
	}
	assert.Equal(t, forward.Digest(), mustMerge(t, reversed...).Digest())
}

// TestMergeRejectsOversizedFolder guards against accepting a folder whose stored
// form is larger than the store's limit, so that the store would refuse it.
func TestMergeRejectsOversizedFolder(t *testing.T) {
	files := append(readExample(t), folder.File{
		Name: "99-large.ini",
		Data: []byte(strings.Repeat("; padding\n", kvstore.MaxValueBytes/10-100)),
	})
	merged, problems := folder.Merge(files)
	assert.Nil(t, merged)
	require.Len(t, problems, 1)
	assert.Equal(t, "99-large.ini", problems[0].File())
	assert.Contains(t, problems[0].Text(), "over the store's")
}

// TestDecodeRejectsInvalidFolder guards against decoding a stored folder without
// checking its keys and its size.
func TestDecodeRejectsInvalidFolder(t *testing.T) {
	_, err := folder.Decode([]byte("[group letters]\nsize = 2\n"))
	assert.ErrorContains(t, err, "missing")
	_, err = folder.Decode(make([]byte, kvstore.MaxValueBytes+1))
	assert.ErrorContains(t, err, "not valid")
}
