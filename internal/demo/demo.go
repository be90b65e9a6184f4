// Package demo runs one conversation for each user's kind of program on a fleet
// in one process, and kills the VM that owns the program between two turns.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/localfleet"
	"ibisstall.example/ibisstall/internal/standin/runner"
)

const (
	model     = "agent-small"
	couples   = "dulce-encuentro" // workspace
	authority = "press-authority" // workspace
	deposits  = "deposits"        // tool
	bookings  = "bookings"        // plain service
	dispatch  = "dispatch"        // tool

	// requestTimeout limits one HTTP request, including its streamed response.
	requestTimeout = 30 * time.Second
)

// turn is one turn of a conversation: a model call if message is set, a tool call
// if tool is set, else a service call.
type turn struct {
	message string // the user's message
	tool    string
	body    string // of the tool or service call
	service string
	path    string // of the service call
	// killOwnerFirst kills the VM that owns the program before the turn.
	killOwnerFirst bool
	// repeat sends the request twice with the same idempotency key.
	repeat bool
}

// conversation is the sequence of turns of one program.
type conversation struct {
	title     string
	workspace string
	turns     []turn
	// wantExecutions is the expected number of executions by tool or service.
	wantExecutions map[string]int
}

var conversations = []conversation{
	{
		title:     "tasting: confirm, deposit, move",
		workspace: couples,
		turns: []turn{
			{message: "We would like to taste three flavours on Friday. ##say: Friday at 17:00 is free: lemon, almond and chocolate. Shall I confirm?"},
			{service: bookings, path: "tastings", body: `{"day":"friday","hour":17}`},
			{tool: deposits, body: `{"couple":"vega-rojas","amount":15000}`, repeat: true},
			{message: "Can we move it to Saturday? ##say: Yes, Saturday at 11:00 is free. I move it now.", killOwnerFirst: true},
			{service: bookings, path: "tastings/move", body: `{"day":"saturday","hour":11}`},
			{message: "Thank you! ##say: See you on Saturday at 11:00. Your deposit stays valid."},
		},
		wantExecutions: map[string]int{deposits: 1, bookings: 2},
	},
	{
		title:     "round: plan, missed-drop question, dispatch",
		workspace: authority,
		turns: []turn{
			{message: "Plan the round of Jabal al-Weibdeh. ##say: 42 shops in 3 streets, start at 04:10 at the depot."},
			{message: "Shop 17 got no papers yesterday. ##say: The drop was missed. I send a carrier with 30 copies.", killOwnerFirst: true},
			{tool: dispatch, body: `{"shop":17,"copies":30}`, repeat: true},
			{message: "When will it come? ##say: The carrier is on the way and arrives at 05:20."},
		},
		wantExecutions: map[string]int{dispatch: 1},
	},
}

// Run runs the demonstration and prints its progress. It returns an error if a
// turn fails or if the history or the executions aren't as expected.
func Run(ctx context.Context, out io.Writer) error {
	f, err := localfleet.Start(ctx, options())
	if err != nil {
		return err
	}
	defer f.Close()
	d := &demo{fleet: f, out: out, client: &http.Client{Timeout: requestTimeout}}
	d.printf("%d VMs in %s, %d engines, one platform, on loopback\n", len(f.VMs), strings.Join(dataCentres, ", "), len(f.Engines))
	for i := range conversations {
		if err := d.runConversation(ctx, &conversations[i]); err != nil {
			return fmt.Errorf("%s: %w", conversations[i].title, err)
		}
	}
	d.printf("\nAll turns were answered and kept in order; each booking, deposit and dispatch ran exactly once.\n")
	return nil
}

var dataCentres = []string{"stgo-norte", "stgo-sur", "valpo-costa"}

func options() localfleet.Options {
	return localfleet.Options{
		Region:     "zona-central",
		DCs:        dataCentres,
		VMs:        3,
		Engines:    2,
		Tools:      []string{deposits, dispatch},
		Services:   []string{bookings},
		Model:      model,
		Workspaces: []string{couples, authority},
		ConfigRows: []entity.ConfigRow{
			{Kind: entity.RowTool, Name: deposits},
			{Kind: entity.RowTool, Name: dispatch},
			{Kind: entity.RowService, Name: bookings},
		},
		Engine: runner.EngineOptions{
			Slots:           8,
			CacheTokens:     1 << 16,
			PrefillPerToken: 20 * time.Microsecond,
			DecodePerToken:  3 * time.Millisecond,
			StreamTTL:       10 * time.Second,
		},
		ServiceHandler: func(e runner.Execution) (int, []byte) {
			return http.StatusOK, []byte(`{"accepted":true,"request":` + e.Body + `}`)
		},
	}
}

type demo struct {
	fleet    *localfleet.Fleet
	out      io.Writer
	client   *http.Client
	requests int
}

func (d *demo) printf(format string, args ...any) { fmt.Fprintf(d.out, format, args...) }

// program contains the fields of a program's description that the demonstration
// uses.
type program struct {
	ID    string `json:"id"`
	Owner string `json:"owner"`
	Turns int    `json:"turns"`
	Used  struct {
		Tokens int64 `json:"tokens"`
	} `json:"used"`
}

func (d *demo) runConversation(ctx context.Context, c *conversation) error {
	d.printf("\n%s\n", c.title)
	var p program
	create := request{method: http.MethodPost, path: "/v1/programs", body: `{"budget":{"tokens":2000,"turns":20,"seconds":600}}`}
	if err := d.doJSON(ctx, c, create, &p); err != nil {
		return err
	}
	d.printf("  program %s, owned by %s\n", p.ID, p.Owner)
	for i, t := range c.turns {
		if t.killOwnerFirst {
			if err := d.killOwner(ctx, c, p.ID); err != nil {
				return err
			}
		}
		if err := d.runTurn(ctx, c, p.ID, i, t); err != nil {
			return fmt.Errorf("turn %d: %w", i+1, err)
		}
	}
	return d.checkRecords(ctx, c, p.ID)
}

// runTurn makes the call of turn t, whose index is i, and repeats it if t.repeat.
// Successive requests are sent to different VMs.
func (d *demo) runTurn(ctx context.Context, c *conversation, id string, i int, t turn) error {
	r := request{method: http.MethodPost, key: fmt.Sprintf("turn-%d", i+1)}
	base := "/v1/programs/" + id
	switch {
	case t.message != "":
		raw, err := json.Marshal(map[string]any{
			"model": model, "stream": true,
			"messages": []map[string]string{{"role": "user", "content": t.message}},
		})
		if err != nil {
			return err
		}
		r.path, r.body = base+"/chat/completions", string(raw)
		shown, _, _ := strings.Cut(t.message, " ##")
		d.printf("  person: %s\n", shown)
		return d.stream(ctx, c, r)
	case t.tool != "":
		r.path, r.body = base+"/tools/"+t.tool, t.body
	default:
		r.path, r.body = base+"/services/"+t.service+"/"+t.path, t.body
	}
	var answer json.RawMessage
	if err := d.doJSON(ctx, c, r, &answer); err != nil {
		return err
	}
	d.printf("  action: POST %s %s\n", strings.TrimPrefix(r.path, base), t.body)
	if !t.repeat {
		return nil
	}
	var repeated json.RawMessage
	if err := d.doJSON(ctx, c, r, &repeated); err != nil {
		return err
	}
	if string(repeated) != string(answer) {
		return fmt.Errorf("the repeated request returned %s, the first one %s", repeated, answer)
	}
	d.printf("  action: repeated under the same key, answered from the record\n")
	return nil
}

// killOwner kills the VM that owns the program and removes it from the fleet.
func (d *demo) killOwner(ctx context.Context, c *conversation, id string) error {
	var p program
	if err := d.doJSON(ctx, c, request{method: http.MethodGet, path: "/v1/programs/" + id}, &p); err != nil {
		return err
	}
	for i, m := range d.fleet.VMs {
		if m.VM.ID() == p.Owner {
			m.Kill()
			d.fleet.VMs = append(d.fleet.VMs[:i:i], d.fleet.VMs[i+1:]...)
			d.printf("  VM %s killed\n", p.Owner)
			return nil
		}
	}
	return fmt.Errorf("owner %s of program %s is not a VM of the fleet", p.Owner, id)
}

// checkRecords compares the program's history with the turns of the conversation,
// and the number of executions that the runners recorded with the expected one.
func (d *demo) checkRecords(ctx context.Context, c *conversation, id string) error {
	var p program
	if err := d.doJSON(ctx, c, request{method: http.MethodGet, path: "/v1/programs/" + id}, &p); err != nil {
		return err
	}
	var turns []struct {
		Number    int    `json:"number"`
		RequestID string `json:"request_id"`
	}
	if err := d.doJSON(ctx, c, request{method: http.MethodGet, path: "/v1/programs/" + id + "/history"}, &turns); err != nil {
		return err
	}
	if len(turns) != len(c.turns) {
		return fmt.Errorf("the history has %d turns, want %d", len(turns), len(c.turns))
	}
	for i, t := range turns {
		if want := fmt.Sprintf("turn-%d", i+1); t.Number != i+1 || t.RequestID != want {
			return fmt.Errorf("turn %d of the history is %q, want %q", i+1, t.RequestID, want)
		}
	}
	for name, want := range c.wantExecutions {
		if got := d.executions(name); got != want {
			return fmt.Errorf("%s ran %d times, want %d", name, got, want)
		}
	}
	d.printf("  history: %d turns in order, %d tokens generated, owned by %s\n", p.Turns, p.Used.Tokens, p.Owner)
	return nil
}

// executions returns the number of executions of a tool or service in all data
// centres.
func (d *demo) executions(name string) int {
	n := 0
	for _, s := range d.fleet.Tools[name] {
		n += len(s.Executions())
	}
	for _, s := range d.fleet.Services[name] {
		n += len(s.Executions())
	}
	return n
}
