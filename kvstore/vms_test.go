package kvstore

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against the transfer of an unchanged list, and against an entity tag that
// hides a change.
func TestVMsTransfersUnchangedListOnce(t *testing.T) {
	const (
		one = `{"vms":[{"name":"vm-1","state":"live"}]}`
		two = `{"vms":[{"name":"vm-1","state":"leaving"}]}`
	)
	body, tag := one, `"1"`
	sent := 0
	client := startPlatform(t, time.Second, func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("ETag", tag)
		if request.Header.Get("If-None-Match") == tag {
			writer.WriteHeader(http.StatusNotModified)
			return
		}
		sent++
		_, _ = writer.Write([]byte(body))
	})
	for range 3 {
		vms, err := client.VMs(context.Background())
		require.NoError(t, err)
		require.Equal(t, []VM{{Name: "vm-1", State: VMLive}}, vms)
	}
	require.Equal(t, 1, sent)
	body, tag = two, `"2"`
	vms, err := client.VMs(context.Background())
	require.NoError(t, err)
	require.Equal(t, []VM{{Name: "vm-1", State: VMLeaving}}, vms)
	require.Equal(t, 2, sent)
}
