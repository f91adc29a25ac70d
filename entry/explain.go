package entry

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"lacewingspoke.org/lacewingspoke/explanation"
	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/group"
	"lacewingspoke.org/lacewingspoke/quarantine"
	"lacewingspoke.org/lacewingspoke/route"
)

// Explain returns where a request would go now. It returns an errors.NotValid error if the
// question names no workspace or route in force.
func (server *Server) Explain(question explanation.Question) (explanation.Answer, error) {
	table := server.config.Publisher.Current()
	if table.Folder() == nil {
		return explanation.Answer{}, errors.NotYetAvailablef("configuration")
	}
	if !hasWorkspace(table.Folder(), question.Workspace) {
		return explanation.Answer{}, errors.NewNotValid(nil, fmt.Sprintf("unknown workspace %q", question.Workspace))
	}
	if !isCleanPath(question.Path) {
		return explanation.Answer{}, errors.NewNotValid(nil, fmt.Sprintf("path %q with empty or dot segments", question.Path))
	}
	target, found := findRoute(table.Folder(), question.Workspace, question.Path)
	if !found {
		return explanation.Answer{}, errors.NewNotValid(nil, fmt.Sprintf("no route of workspace %q matches path %q", question.Workspace, question.Path))
	}
	answer := explanation.Answer{Node: server.config.Node, Route: target.Name, Service: target.Service, Model: target.Group, Workspace: question.Workspace}
	now := server.config.Now()
	if target.Kind == folder.KindDraft {
		server.explainDraft(&answer, table, target, question, now)
	} else {
		server.explainService(&answer, table, target, now)
	}
	server.explainAdmission(&answer, table, target, question, now)
	return answer, nil
}

func hasWorkspace(config *folder.Folder, name string) bool {
	for _, workspace := range config.Workspaces() {
		if workspace.Name == name {
			return true
		}
	}
	return false
}

// explainDraft adds the decision on the group of a draft.
func (server *Server) explainDraft(answer *explanation.Answer, table *route.Table, target folder.Route, question explanation.Question, now time.Time) {
	request := newGroupRequest(target, route.NewTextPrompt(question.Prompt), nil)
	request.Reasons = true
	answer.PromptTokens = request.Prompt.Tokens()
	placed := server.picker.PlaceGroup(table, request, now)
	for _, candidate := range placed.Candidates {
		group := candidate.Target
		explained := server.explainCandidate(group.Name, group.FailureDomain, group.Load, group.LoadReportedAt(), now)
		explained.VM, explained.Excluded = group.VM, string(candidate.Exclusion)
		explained.HeldTokens, explained.WeighedMicros = candidate.Held, candidate.Time.Microseconds()
		answer.Candidates = append(answer.Candidates, explained)
	}
	if !placed.Found {
		answer.Wait(fmt.Sprintf("no group can take the draft; it waits for one for %v and is refused then", server.config.TargetWait))
		return
	}
	answer.Send(placed.Target.Name, placed.Reason())
}

// explainService adds the decision on the runner of a request to a plain service.
func (server *Server) explainService(answer *explanation.Answer, table *route.Table, target folder.Route, now time.Time) {
	placed := server.picker.PlaceService(table, route.ServiceRequest{Service: target.Service, Reasons: true}, now)
	for _, candidate := range placed.Candidates {
		runner := candidate.Target
		explained := server.explainCandidate(runner.ID(), runner.FailureDomain, runner.Load, time.Time{}, now)
		explained.Excluded = string(candidate.Exclusion)
		answer.Candidates = append(answer.Candidates, explained)
	}
	if !placed.Found {
		answer.Wait(fmt.Sprintf("no runner can take the request; it waits for one for %v and is refused then", server.config.TargetWait))
		return
	}
	answer.Send(placed.Target.ID(), placed.Reason())
}

func (server *Server) explainCandidate(name, failureDomain string, load group.Load, reportedAt, now time.Time) explanation.Candidate {
	age, known := server.tracker.LoadAge(name, reportedAt, now)
	return explanation.Candidate{
		Name: name, FailureDomain: failureDomain, Near: failureDomain == server.config.FailureDomain,
		Load: server.tracker.Load(name, load, reportedAt, now), LoadAgeMillis: explanation.Milliseconds(age, known),
	}
}

// explainAdmission replaces the verdict if the request is refused, or waits, before a target is
// chosen.
func (server *Server) explainAdmission(answer *explanation.Answer, table *route.Table, target folder.Route, question explanation.Question, now time.Time) {
	starts, waiting := server.admission.startsAtOnce(target, table)
	refused := ""
	if target.Kind == folder.KindDraft && question.Prompt != "" {
		refused = server.config.Quarantine.Judge([]string{quarantine.PartOf(question.Prompt)}, now).Refused()
	}
	switch {
	case server.stopping.Load():
		answer.Refuse("node is stopping", time.Second)
	case refused != "":
		answer.Refuse("message "+refused+" is in quarantine", quarantine.RetryAfter)
	case !starts:
		answer.Wait(fmt.Sprintf("admission: no place is free for the workspace and pool %s, behind %d waiting requests of all workspaces", poolName(target), waiting))
	}
}
