package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/admin"
	"lacewingspoke.org/lacewingspoke/explanation"
)

// ExplainRequest holds the parameters of Explain.
type ExplainRequest struct {
	Question explanation.Question

	// JSON is true if the answer is printed as JSON.
	JSON bool
}

// Explain prints where a request would go now, by the first node that answers: of those that the
// operator names, in this order, or else of those in the store. Nothing is sent to a target.
func (operator *Operator) Explain(ctx context.Context, request ExplainRequest) ExitCode {
	addresses := operator.nodes
	if len(addresses) == 0 {
		addresses = operator.knownNodes(ctx)
	}
	return operator.tryAddresses(addresses, func(address string) error {
		var answer explanation.Answer
		err := operator.post(ctx, address, admin.ExplainPath, request.Question, &answer)
		if errors.Is(err, errors.NotFound) {
			return errors.New("the node is of an earlier release, which does not explain placements")
		}
		if err != nil {
			return err
		}
		return operator.printAnswer(answer, request.JSON)
	})
}

func (operator *Operator) printAnswer(answer explanation.Answer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(operator.output)
		encoder.SetIndent("", "  ")
		return errors.Trace(encoder.Encode(answer))
	}
	operator.print("node %s, route %s, workspace %s, model %s, service %s", answer.Node, answer.Route, orDash(answer.Workspace), orDash(answer.Model), orDash(answer.Service))
	verdict := string(answer.Verdict)
	if answer.Target != "" {
		verdict += " to " + answer.Target
	}
	operator.print("%s: %s", verdict, answer.Reason)
	if answer.RetryAfterMillis > 0 {
		operator.print("retry after %v", milliseconds(answer.RetryAfterMillis))
	}
	if answer.BoundMillis > 0 {
		operator.print("first event at most in %v", milliseconds(answer.BoundMillis))
	}
	if answer.PromptTokens > 0 {
		operator.print("prompt of about %d tokens", answer.PromptTokens)
	}
	table := tabwriter.NewWriter(operator.output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TARGET\tVM\tFAILURE-DOMAIN\tNEAR\tEXCLUDED\tLOAD\tAGE\tHELD\tFIRST-EVENT\tWEIGHED")
	for _, candidate := range answer.Candidates {
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%s\t%d\t%s\t%d\t%s\t%s\n", candidate.Name, orDash(candidate.VM), orDash(candidate.FailureDomain), candidate.Near,
			orDash(candidate.Excluded), candidate.Load, ageOrDash(candidate.LoadAgeMillis), candidate.HeldTokens,
			timeOrDash(milliseconds(candidate.ForecastMillis)), timeOrDash(time.Duration(candidate.WeighedMicros)*time.Microsecond))
	}
	return errors.Trace(table.Flush())
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

func timeOrDash(value time.Duration) string {
	if value <= 0 {
		return "-"
	}
	return value.String()
}

func ageOrDash(millis int64) string {
	if millis < 0 {
		return "-"
	}
	return milliseconds(millis).String()
}
