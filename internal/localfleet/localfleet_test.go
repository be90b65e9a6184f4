package localfleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/standin/runner"
)

func testOptions() Options {
	return Options{
		Region:     "zona-central",
		DCs:        []string{"stgo-norte"},
		VMs:        3,
		Engines:    1,
		Tools:      []string{"deposit"},
		Services:   []string{"bookings"},
		Model:      "small",
		Workspaces: []string{"couples", "rounds"},
		ConfigRows: []entity.ConfigRow{{Kind: entity.RowService, Name: "bookings", Repeatable: true}},
		Engine: runner.EngineOptions{
			Slots: 8, CacheTokens: 1 << 16,
			PrefillPerToken: 10 * time.Microsecond,
			DecodePerToken:  time.Millisecond,
			StreamTTL:       5 * time.Second,
		},
	}
}

func startFleet(t *testing.T, o Options) *Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	f, err := Start(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

type response struct {
	status int
	header http.Header
	body   []byte
}

func (f *Fleet) request(t *testing.T, m *Member, method, path, body string, header map[string]string) response {
	t.Helper()
	req, err := http.NewRequest(method, m.URL()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+f.WorkspaceKeys["couples"])
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response{resp.StatusCode, resp.Header, raw}
}

func (f *Fleet) newProgram(t *testing.T, m *Member) string {
	t.Helper()
	r := f.request(t, m, "POST", "/v1/programs", `{"budget":{"tokens":1000,"turns":20,"seconds":60}}`, nil)
	if r.status != http.StatusCreated {
		t.Fatalf("create: %d %s", r.status, r.body)
	}
	var p struct{ ID string }
	if err := json.Unmarshal(r.body, &p); err != nil {
		t.Fatal(err)
	}
	return p.ID
}

func TestFleet_ConversationThroughAllVMs(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, testOptions())
	id := f.newProgram(t, f.VMs[0])

	r := f.request(t, f.VMs[0], "POST", "/v1/programs/"+id+"/chat/completions",
		`{"model":"small","messages":[{"role":"user","content":"##say: three flavours"}]}`, nil)
	is.Equal(r.status, http.StatusOK)
	is.True(bytes.Contains(r.body, []byte("three flavours")))
	is.Equal(r.header.Get("Ibisstall-History"), "durable")

	r = f.request(t, f.VMs[1], "POST", "/v1/programs/"+id+"/tools/deposit", `{"amount":50}`, map[string]string{"Idempotency-Key": "dep-1"})
	is.Equal(r.status, http.StatusOK)
	repeated := f.request(t, f.VMs[2], "POST", "/v1/programs/"+id+"/tools/deposit", `{"amount":50}`, map[string]string{"Idempotency-Key": "dep-1"})
	is.Equal(repeated.status, http.StatusOK)
	is.Equal(string(repeated.body), string(r.body))
	is.Equal(len(f.Tools["deposit"][0].Executions()), 1)

	r = f.request(t, f.VMs[2], "POST", "/v1/programs/"+id+"/chat/completions",
		`{"model":"small","stream":true,"messages":[{"role":"user","content":"##say: see you on Friday"}]}`, nil)
	is.Equal(r.status, http.StatusOK)
	is.Equal(streamText(t, r.body), "see you on Friday")

	r = f.request(t, f.VMs[1], "GET", "/v1/programs/"+id+"/history", "", nil)
	is.Equal(r.status, http.StatusOK)
	var turns []struct {
		Number int
		Kind   string
	}
	is.NoErr(json.Unmarshal(r.body, &turns))
	is.Equal(len(turns), 3)
	is.Equal(turns[1].Kind, "tool")
}

func streamText(t *testing.T, body []byte) string {
	t.Helper()
	var text strings.Builder
	done := false
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var c struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			t.Fatal(err)
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	if !done {
		t.Fatalf("the stream has no [DONE] event: %s", body)
	}
	return text.String()
}

// programsByOwner returns the number of programs that each VM owns according to
// the platform's rows.
func (f *Fleet) programsByOwner(t *testing.T, m *Member) map[string]int {
	t.Helper()
	r := f.request(t, m, "GET", "/v1/programs?limit=500", "", nil)
	var page []struct{ Owner string }
	if r.status != http.StatusOK || json.Unmarshal(r.body, &page) != nil {
		t.Fatalf("list: %d %s", r.status, r.body)
	}
	count := make(map[string]int)
	for _, p := range page {
		count[p.Owner]++
	}
	return count
}

func TestFleet_ProgramsOfADeadVMAreAdoptedWithoutACall(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, testOptions())
	const programs = 60
	for range programs {
		f.newProgram(t, f.VMs[0])
	}
	victim := f.VMs[2]
	is.True(f.programsByOwner(t, f.VMs[0])[victim.VM.ID()] > 0)
	victim.Kill()
	deadline := time.Now().Add(15 * time.Second)
	for f.programsByOwner(t, f.VMs[0])[victim.VM.ID()] > 0 {
		if time.Now().After(deadline) {
			t.Fatalf("still owned by the dead VM: %v", f.programsByOwner(t, f.VMs[0]))
		}
		time.Sleep(50 * time.Millisecond)
	}
	owners := f.programsByOwner(t, f.VMs[0])
	is.Equal(owners[f.VMs[0].VM.ID()]+owners[f.VMs[1].VM.ID()], programs)
}
