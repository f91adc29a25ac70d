package entry

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/route"
)

// Guards against an attempt that is cancelled as lost by a scan of an older
// table, which does not contain its group yet. The draft then waits for another
// table although its group has a grant.
func TestAttemptSurvivesScanOfOlderTable(t *testing.T) {
	now := time.Now()
	target := route.GroupTarget{
		Name: "copy-1", Spec: "copy", Epoch: 1, Open: true,
		Grant: group.Grant{Group: "copy-1", Epoch: 1, ReportedAt: now, ValidUntil: now.Add(time.Hour)},
	}
	publisher := route.NewPublisher()
	publisher.Publish(route.NewTable(route.TableConfig{Folder: folder.New(folder.Config{})}))
	gate := newGrantGate(publisher, func() time.Time { return now })

	ctx, stop := context.WithCancel(context.Background())
	applied := make(chan *route.Table)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		gate.run(ctx, func(table *route.Table) {
			select {
			case applied <- table:
			case <-ctx.Done():
			}
			// The second receive holds the scan back until the test is ready.
			select {
			case applied <- table:
			case <-ctx.Done():
			}
		})
	}()
	defer func() {
		stop()
		<-ended
	}()

	<-applied
	newer := route.NewTable(route.TableConfig{Folder: folder.New(folder.Config{}), Groups: []route.GroupTarget{target}})
	publisher.Publish(newer)
	attemptCtx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	attempt := gate.register(target, cancel)
	defer gate.unregister(attempt)
	<-applied
	require.Same(t, newer, <-applied)
	require.NoError(t, context.Cause(attemptCtx))
}
