package front

import (
	"context"
	"encoding/json"
	"time"

	"ibisstall.example/ibisstall/gen/programs"
	"ibisstall.example/ibisstall/gen/types"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/system/owner"
)

// programService implements the design's service of programs.
type programService struct{ front *Front }

var _ programs.Service = programService{}

// Create creates a root program, or a sub-agent of a parent.
func (s programService) Create(ctx context.Context, p *programs.CreatePayload) (*types.Program, error) {
	workspace, err := s.front.requireWorkspace(p.Authorization)
	if err != nil {
		return nil, err
	}
	requestID, err := s.front.requestID(p.IdempotencyKey)
	if err != nil {
		return nil, err
	}
	args := owner.CreateArgs{Workspace: workspace, RequestID: requestID}
	switch {
	case p.Parent != nil && p.Budget != nil:
		return nil, newFailure(nameBadRequest, "a sub-agent draws on its parent's budget and has none of its own", "budget")
	case p.Parent != nil:
		if args.Parent, err = parseProgramID(workspace, *p.Parent, "parent"); err != nil {
			return nil, err
		}
	case p.Budget == nil:
		return nil, newFailure(nameBadRequest, "a program needs a budget or a parent", "budget")
	default:
		args.Budget = entity.Budget{Tokens: p.Budget.Tokens, Turns: p.Budget.Turns, Seconds: p.Budget.Seconds}
		if err := args.Budget.Validate(); err != nil {
			return nil, newFailure(nameBadRequest, err.Error(), "budget")
		}
		args.ID = entity.RootIDFor(s.front.options.DC, workspace, requestID)
	}
	reply, err := s.front.options.Router.Create(ctx, args)
	if err != nil {
		return nil, convertError(err)
	}
	return programBody(&reply), nil
}

// List lists the programs that the key may read.
func (s programService) List(ctx context.Context, p *programs.ListPayload) ([]*types.Program, error) {
	workspace, err := s.front.requireReader(p.Authorization)
	if err != nil {
		return nil, err
	}
	var after entity.ProgramID
	if p.After != nil {
		after = entity.ProgramID(*p.After)
	}
	rows, err := s.front.options.Lister.List(ctx, "", workspace, after, p.Limit)
	if err != nil {
		return nil, convertError(err)
	}
	out := make([]*types.Program, 0, len(rows))
	for _, row := range rows {
		out = append(out, programBody(&owner.ProgramReply{Program: *row, Root: *row}))
	}
	return out, nil
}

// Show returns a program.
func (s programService) Show(ctx context.Context, p *programs.ShowPayload) (*types.Program, error) {
	args, err := s.front.programArgs(p.Authorization, p.ID)
	if err != nil {
		return nil, err
	}
	reply, err := s.front.options.Router.Show(ctx, args)
	if err != nil {
		return nil, convertError(err)
	}
	return programBody(&reply), nil
}

// Cancel cancels a program.
func (s programService) Cancel(ctx context.Context, p *programs.CancelPayload) (*types.Program, error) {
	args, err := s.front.programArgs(p.Authorization, p.ID)
	if err != nil {
		return nil, err
	}
	reply, err := s.front.options.Router.Cancel(ctx, args)
	if err != nil {
		return nil, convertError(err)
	}
	return programBody(&reply), nil
}

// History returns the turns of a program.
func (s programService) History(ctx context.Context, p *programs.HistoryPayload) ([]*types.Turn, error) {
	args, err := s.front.programArgs(p.Authorization, p.ID)
	if err != nil {
		return nil, err
	}
	turns, err := s.front.options.Router.History(ctx, owner.HistoryArgs{ProgramArgs: args, From: p.From})
	if err != nil {
		return nil, convertError(err)
	}
	out := make([]*types.Turn, 0, len(turns))
	for i := range turns {
		out = append(out, turnBody(&turns[i]))
	}
	return out, nil
}

func (f *Front) programArgs(authorization *string, id string) (owner.ProgramArgs, error) {
	workspace, err := f.requireReader(authorization)
	if err != nil {
		return owner.ProgramArgs{}, err
	}
	pid, err := parseProgramID(workspace, id, "id")
	return owner.ProgramArgs{ID: pid, Workspace: workspace}, err
}

// parseProgramID parses the id of a program that a workspace may access; an
// empty workspace, which stands for operators, may access all. An id of another
// workspace is rejected as not found, before any lookup.
func parseProgramID(workspace, text, param string) (entity.ProgramID, error) {
	id := entity.ProgramID(text)
	if err := id.Validate(); err != nil {
		return "", newFailure(nameBadRequest, err.Error(), param)
	}
	if workspace != "" && !id.MayBelongTo(workspace) {
		return "", newFailure(nameNotFound, "no such program", "")
	}
	return id, nil
}

func programBody(r *owner.ProgramReply) *types.Program {
	p, root := &r.Program, &r.Root
	out := &types.Program{
		ID:        string(p.ID),
		Workspace: p.Workspace,
		State:     string(p.State),
		Created:   p.Created.UTC().Format(time.RFC3339Nano),
		Turns:     p.Head,
	}
	if p.Parent != "" {
		parent := string(p.Parent)
		out.Parent = &parent
	}
	// A list has no root for a sub-agent, so the fields of the root are left out.
	if root.ID == p.ID.Root() {
		out.Budget = &types.Budget{Tokens: root.Budget.Tokens, Turns: root.Budget.Turns, Seconds: root.Budget.Seconds}
		out.Used = &types.Used{Tokens: root.Used.Tokens, Turns: root.Used.Turns}
		out.Owner = &root.Owner
		out.Epoch = &root.Epoch
	}
	return out
}

func turnBody(t *entity.Turn) *types.Turn {
	out := &types.Turn{
		Number:    t.Number,
		RequestID: t.RequestID,
		Kind:      string(t.Kind),
		Target:    t.Target,
		At:        t.At.UTC().Format(time.RFC3339Nano),
		Outcome:   string(t.Outcome),
		Tokens:    t.Tokens,
	}
	for i := range t.Messages {
		out.Messages = append(out.Messages, messageBody(&t.Messages[i]))
	}
	if t.Kind != entity.CallModel {
		request, answer, status := string(t.Request), string(t.Answer), t.Status
		out.Request = &request
		out.Answer = &answer
		out.Status = &status
	}
	return out
}

// messageBody encodes a message, or returns null if it can't be encoded. Fields
// that are already JSON are copied unchanged.
func messageBody(m *entity.Message) json.RawMessage {
	raw, err := json.Marshal(m)
	if err != nil {
		return json.RawMessage("null")
	}
	return raw
}
