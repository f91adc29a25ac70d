package operator

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/generation"
	"lacewingspoke.org/lacewingspoke/kvstore"
	"lacewingspoke.org/lacewingspoke/standin/store"
	"lacewingspoke.org/lacewingspoke/timer"
)

// storeGenerations writes the bodies of count generations, each based on the
// previous one, and the head of the last one.
func storeGenerations(t *testing.T, client *kvstore.Client, count uint64) {
	merged, problems := folder.Merge([]folder.File{{Name: "10-base.ini", Data: []byte("[policy]\nretry-percent = 10\n")}})
	require.Empty(t, problems)
	base := generation.Head{}
	for number := uint64(1); number <= count; number++ {
		body, err := generation.NewBody(generation.BodyConfig{
			Generation: number, Change: fmt.Sprint("change-", number), Base: base,
			Author: "mirela", Reason: "test", Time: time.Unix(0, 0), Folder: merged,
		})
		require.NoError(t, err)
		base = body.Head()
		data, err := body.Encode()
		require.NoError(t, err)
		client.Put(context.Background(), kvstore.PutRequest{Key: base.BodyKey(), Value: data, Expect: kvstore.ExpectAbsent()})
	}
	head, err := base.Encode()
	require.NoError(t, err)
	client.Put(context.Background(), kvstore.PutRequest{Key: generation.HeadKey, Value: head, Expect: kvstore.ExpectAbsent()})
}

// Guards against an archive that removes bodies, which are the audit entries,
// without having written them to files, and against an audit or a second archive
// that fails because older bodies are missing.
func TestArchiveRemovesOnlyBodiesWrittenToFiles(t *testing.T) {
	server := httptest.NewServer(store.New(store.Config{}))
	t.Cleanup(server.Close)
	client, err := kvstore.NewClient(kvstore.ClientConfig{Addresses: []string{server.Listener.Addr().String()}, Timeout: time.Second})
	require.NoError(t, err)
	t.Cleanup(client.Close)
	storeGenerations(t, client, MinimumKept+3)
	var output, errorOutput bytes.Buffer
	commands := New(Config{Store: client, Timers: timer.New(timer.Config{}), Output: &output, Errors: &errorOutput})
	request := ArchiveRequest{Directory: t.TempDir(), Keep: MinimumKept, Author: "mirela", Reason: "space", Time: time.Unix(0, 0)}

	missing := request
	missing.Directory += "/missing"
	require.Equal(t, ExitFailed, commands.Archive(context.Background(), missing))
	listing, err := client.List(context.Background(), generation.BodyPrefix)
	require.NoError(t, err)
	require.Len(t, listing.Entries, MinimumKept+3, "a body without a file was removed")

	require.Equal(t, ExitDone, commands.Archive(context.Background(), request))
	require.Contains(t, output.String(), "archived 3 generations up to generation 3")
	files, err := os.ReadDir(request.Directory)
	require.NoError(t, err)
	require.Len(t, files, 3)
	data, err := os.ReadFile(request.Directory + "/" + files[0].Name())
	require.NoError(t, err)
	body, err := generation.DecodeBody(data)
	require.NoError(t, err)
	require.EqualValues(t, 1, body.Head().Generation)

	require.Equal(t, ExitDone, commands.Audit(context.Background(), AuditRequest{Limit: 1000}))
	require.Contains(t, errorOutput.String(), "generations up to 3 were archived by mirela")
	require.Equal(t, ExitFailed, commands.Audit(context.Background(), AuditRequest{Generation: 4}), "the base is archived, so the differences cannot be computed")
	require.Equal(t, ExitDone, commands.Archive(context.Background(), request))
	require.Contains(t, output.String(), "nothing to archive")
	request.Keep = 1
	require.Equal(t, ExitRejected, commands.Archive(context.Background(), request))
}
