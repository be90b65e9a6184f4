package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/timeline"
)

// Program is the operators' view of a program.
type Program struct {
	ID        entity.ProgramID    `json:"id"`
	Workspace string              `json:"workspace"`
	Parent    entity.ProgramID    `json:"parent,omitempty"`
	State     entity.ProgramState `json:"state"`
	Created   time.Time           `json:"created"`
	Budget    *entity.Budget      `json:"budget,omitempty"`
	Used      *entity.Usage       `json:"used,omitempty"`
	Turns     uint64              `json:"turns"`
	Owner     string              `json:"owner,omitempty"`
	Epoch     uint64              `json:"epoch,omitempty"`
}

// Turn is one durable turn of a program.
type Turn struct {
	Number    uint64            `json:"number"`
	RequestID string            `json:"request_id"`
	Kind      entity.CallKind   `json:"kind"`
	Target    string            `json:"target"`
	At        time.Time         `json:"at"`
	Outcome   entity.Outcome    `json:"outcome"`
	Messages  []json.RawMessage `json:"messages,omitempty"`
	Request   string            `json:"request,omitempty"`
	Status    int               `json:"status,omitempty"`
	Answer    string            `json:"answer,omitempty"`
	Tokens    int64             `json:"tokens"`
}

// VM is the state of a VM in the view of the VM that serves the request.
type VM struct {
	ID                string `json:"id"`
	DC                string `json:"dc"`
	Region            string `json:"region,omitempty"`
	State             string `json:"state"`
	MeshAddr          string `json:"mesh_addr"`
	Incarnation       uint64 `json:"incarnation,omitempty"`
	ConfigVersion     uint64 `json:"config_version"`
	PlatformReachable bool   `json:"platform_reachable"`
}

// MaxPageSize is the maximum number of programs in one response.
const MaxPageSize = 1000

// Programs returns at most limit programs whose ids sort after an id.
func (c *Client) Programs(ctx context.Context, after entity.ProgramID, limit int) ([]Program, error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	if after != "" {
		query.Set("after", string(after))
	}
	var list []Program
	_, err := c.send(ctx, request{method: http.MethodGet, path: "/v1/programs", query: query}, &list)
	return list, err
}

func programPath(id entity.ProgramID) string { return "/v1/programs/" + url.PathEscape(string(id)) }

// Program returns one program.
func (c *Client) Program(ctx context.Context, id entity.ProgramID) (*Program, error) {
	var p Program
	_, err := c.send(ctx, request{method: http.MethodGet, path: programPath(id)}, &p)
	return &p, err
}

// CancelProgram cancels a program and its sub-agents.
func (c *Client) CancelProgram(ctx context.Context, id entity.ProgramID) (*Program, error) {
	var p Program
	_, err := c.send(ctx, request{method: http.MethodDelete, path: programPath(id)}, &p)
	return &p, err
}

// History returns turns of a program, starting with turn number from. It may return
// only the first of these turns; the caller continues after the last one returned.
func (c *Client) History(ctx context.Context, id entity.ProgramID, from uint64) ([]Turn, error) {
	query := url.Values{"from": {strconv.FormatUint(from, 10)}}
	var turns []Turn
	_, err := c.send(ctx, request{method: http.MethodGet, path: programPath(id) + "/history", query: query}, &turns)
	return turns, err
}

// VMs returns the VMs that are known to the VM that serves the request.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var list []VM
	_, err := c.send(ctx, request{method: http.MethodGet, path: "/v1/vms"}, &list)
	return list, err
}

// DrainVM makes a VM hand over its programs and exit.
func (c *Client) DrainVM(ctx context.Context, id string) error {
	_, err := c.send(ctx, request{method: http.MethodPost, path: "/v1/vms/" + url.PathEscape(id) + "/drain"}, nil)
	return err
}

// Timeline returns the latest events of all VMs in causal order. If program is not
// empty, it returns only the events of that program.
func (c *Client) Timeline(ctx context.Context, program entity.ProgramID, limit int) ([]timeline.Event, error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	if program != "" {
		query.Set("program", string(program))
	}
	var list []struct {
		Wall    int64  `json:"wall"`
		Logical uint32 `json:"logical"`
		timeline.Event
	}
	if _, err := c.send(ctx, request{method: http.MethodGet, path: "/v1/timeline", query: query}, &list); err != nil {
		return nil, err
	}
	events := make([]timeline.Event, len(list))
	for i, e := range list {
		events[i] = e.Event
		events[i].Stamp = timeline.Stamp{Wall: e.Wall, Logical: e.Logical}
	}
	return timeline.Merge(events), nil
}
