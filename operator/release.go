package operator

import (
	"context"

	"lacewingspoke.org/lacewingspoke/admin"
)

// ReleaseRequest holds the parameters of Release.
type ReleaseRequest struct {
	// Part is the name of a part in quarantine, as the nodes log it.
	Part   string
	Author string
	Reason string
}

// Release ends the quarantine of a part. Requests with it reach targets again.
func (operator *Operator) Release(ctx context.Context, request ReleaseRequest) ExitCode {
	return operator.tryNodes(ctx, func(address string) error {
		var result admin.ReleaseResult
		if err := operator.post(ctx, address, releasePath, admin.ReleaseRequest(request), &result); err != nil {
			return err
		}
		operator.print("part %s is released; %d targets had ended under it", request.Part, len(result.Targets))
		return nil
	})
}
