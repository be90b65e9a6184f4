package main

import (
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

const operatorKey = "ibis_operator-key-for-tests"

// fakeVM serves the operators' part of the HTTP interface from memory.
type fakeVM struct {
	mu           sync.Mutex       // held while each request is served
	versions     []map[string]any // versions of the table, oldest first
	appliedEdits map[string]bool  // by edit id
	drained      string           // id of the drained VM, which is no longer listed
	// dropResponses is the number of further edits that are applied but get no
	// response, since the connection is aborted.
	dropResponses int
}

// newFakeVM starts a fake VM. It also returns the environment variables that direct
// the operator's subcommands to it.
func newFakeVM(t *testing.T) (*fakeVM, []string) {
	t.Helper()
	f := &fakeVM{appliedEdits: make(map[string]bool)}
	f.addVersion("first", []any{map[string]any{"kind": "tool", "name": "deposit", "timeout": "30s", "max_concurrent": 4}})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/table", func(w http.ResponseWriter, _ *http.Request) { f.writeTable(w) })
	mux.HandleFunc("PUT /v1/table", func(w http.ResponseWriter, r *http.Request) {
		f.edit(w, r, func(body map[string]any) []any { return body["rows"].([]any) })
	})
	mux.HandleFunc("GET /v1/table/history", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, f.versions) })
	mux.HandleFunc("POST /v1/table/revert", func(w http.ResponseWriter, r *http.Request) {
		f.edit(w, r, func(body map[string]any) []any { return f.versions[int(body["version"].(float64))-1]["rows"].([]any) })
	})
	mux.HandleFunc("GET /v1/programs", listPrograms)
	mux.HandleFunc("GET /v1/programs/{id}", showProgram("active"))
	mux.HandleFunc("DELETE /v1/programs/{id}", showProgram("cancelled"))
	mux.HandleFunc("GET /v1/programs/{id}/history", listTurns)
	mux.HandleFunc("GET /v1/vms", f.listVMs)
	mux.HandleFunc("POST /v1/vms/{id}/drain", func(w http.ResponseWriter, r *http.Request) {
		f.drained = r.PathValue("id")
		w.WriteHeader(http.StatusAccepted)
	})
	mux.HandleFunc("GET /v1/timeline", listEvents)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer "+operatorKey {
			writeError(w, http.StatusUnauthorized, "unauthorized", "the key is missing or not accepted", "")
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	keyFile := filepath.Join(t.TempDir(), "operator.key")
	is.New(t).NoErr(os.WriteFile(keyFile, []byte(operatorKey+"\n"), 0o600))
	return f, []string{"IBISSTALL_SERVER=" + server.URL, "IBISSTALL_KEY_FILE=" + keyFile}
}

func (f *fakeVM) addVersion(author string, rows []any) {
	f.versions = append(f.versions, map[string]any{
		"version": len(f.versions) + 1, "author": author, "at": "2026-03-01T04:00:00Z", "rows": rows, "etag": fmt.Sprintf(`"%d"`, len(f.versions)+1),
	})
}

// dropNextResponse makes the server apply the next edit without responding.
func (f *fakeVM) dropNextResponse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropResponses = 1
}

func (f *fakeVM) latestVersion() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.versions)
}

func (f *fakeVM) writeTable(w http.ResponseWriter) {
	latest := f.versions[len(f.versions)-1]
	w.Header().Set("ETag", latest["etag"].(string))
	writeJSON(w, http.StatusOK, latest)
}

// edit applies an edit that is based on the latest version, once per edit id. rows
// returns the rows of the new version from the body of the request.
func (f *fakeVM) edit(w http.ResponseWriter, r *http.Request, rows func(body map[string]any) []any) {
	var body map[string]any
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error(), "")
		return
	}
	id := r.Header.Get("Idempotency-Key")
	if !f.appliedEdits[id] {
		if r.Header.Get("If-Match") != f.versions[len(f.versions)-1]["etag"] {
			writeError(w, http.StatusPreconditionFailed, "stale", "the table changed since it was read", "tool deposit")
			return
		}
		f.addVersion(body["author"].(string), rows(body))
		f.appliedEdits[id] = true
	}
	if f.dropResponses > 0 {
		f.dropResponses--
		panic(http.ErrAbortHandler)
	}
	f.writeTable(w)
}

func (f *fakeVM) listVMs(w http.ResponseWriter, _ *http.Request) {
	list := []map[string]any{}
	for _, id := range []string{"amman-a-1", "amman-b-1"} {
		if id != f.drained {
			list = append(list, map[string]any{"id": id, "dc": id[:7], "state": "alive", "mesh_addr": "10.0.0.1:8081", "config_version": 7, "platform_reachable": id == "amman-a-1"})
		}
	}
	writeJSON(w, http.StatusOK, list)
}

func programJSON(id, state string) map[string]any {
	return map[string]any{
		"id": id, "workspace": "rounds", "state": state, "created": "2026-03-01T04:00:00Z", "turns": 2, "owner": "amman-a-1", "epoch": 3,
		"budget": map[string]any{"tokens": 1000, "turns": 20, "seconds": 600}, "used": map[string]any{"tokens": 77, "turns": 5},
	}
}

// listPrograms serves 1,500 programs in pages of at most 1,000.
func listPrograms(w http.ResponseWriter, r *http.Request) {
	const total = 1500
	list := []map[string]any{}
	for i := range total {
		id := fmt.Sprintf("amman-a.p%04d", i)
		if id > r.URL.Query().Get("after") && len(list) < 1000 {
			list = append(list, programJSON(id, "active"))
		}
	}
	writeJSON(w, http.StatusOK, list)
}

func showProgram(state string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.PathValue("id"), "gone") {
			writeError(w, http.StatusNotFound, "not_found", "there is no such program", "")
			return
		}
		writeJSON(w, http.StatusOK, programJSON(r.PathValue("id"), state))
	}
}

// listTurns serves three turns in pages of at most two.
func listTurns(w http.ResponseWriter, r *http.Request) {
	list := []map[string]any{}
	for n := 1; n <= 3; n++ {
		if fmt.Sprint(n) >= r.URL.Query().Get("from") && len(list) < 2 {
			list = append(list, map[string]any{"number": n, "request_id": fmt.Sprint("r", n), "kind": "tool", "target": "dispatch", "at": "2026-03-01T04:00:00Z", "outcome": "done", "tokens": 0, "answer": "secret street"})
		}
	}
	writeJSON(w, http.StatusOK, list)
}

func listEvents(w http.ResponseWriter, r *http.Request) {
	program := r.URL.Query().Get("program")
	writeJSON(w, http.StatusOK, []map[string]any{
		{"wall": 1000, "logical": 1, "vm": "amman-b-1", "kind": "program adopted", "program": program, "detail": "epoch 4"},
		{"wall": 1000, "logical": 0, "vm": "amman-a-1", "kind": "VM died"},
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, kind, message, row string) {
	writeJSON(w, status, map[string]any{"error": map[string]any{"type": kind, "message": message, "row": row}})
}

func TestTable_GetEditDiffApplyAndRevert(t *testing.T) {
	is := is.New(t)
	f, env := newFakeVM(t)
	file := filepath.Join(t.TempDir(), "table.csv")
	is.Equal(runBinary(t, env, "table", "get", "--output", file).code, exitOK)
	text, err := os.ReadFile(file)
	is.NoErr(err)
	edited := strings.Replace(string(text), "tool,deposit,,,4", "tool,deposit,,,9", 1)
	is.True(edited != string(text))
	is.NoErr(os.WriteFile(file, []byte(edited), 0o600))

	diff := runBinary(t, env, "table", "diff", file)
	is.Equal(diff.code, exitOK)
	is.Equal(diff.stdout, "~ tool \"deposit\"  max_concurrent: \"4\" -> \"9\"\n")

	f.dropNextResponse() // the edit takes effect once although its response is lost
	applied := runBinary(t, env, "table", "apply", "--author", "carla", file)
	is.Equal(applied.code, exitOK)
	is.True(strings.Contains(applied.stderr, "Version 2 is in force"))
	is.Equal(f.latestVersion(), 2)

	stale := runBinary(t, env, "table", "apply", file)
	is.Equal(stale.code, exitFailure)
	is.True(strings.Contains(stale.stderr, "based on version 1, in force is version 2, by carla"))
	is.Equal(f.latestVersion(), 2)

	history := runBinary(t, env, "table", "history")
	is.True(strings.Contains(history.stdout, "carla"))
	reverted := runBinary(t, env, "table", "revert", "1")
	is.Equal(reverted.code, exitOK)
	is.True(strings.Contains(reverted.stdout, `max_concurrent: "9" -> "4"`))
	is.Equal(f.latestVersion(), 3)
	old := runBinary(t, env, "table", "get", "--version", "2")
	is.True(strings.HasPrefix(old.stdout, "# version 2\n") && strings.Contains(old.stdout, "tool,deposit,,,9"))
}

func TestTable_ApplyNamesABadCell(t *testing.T) {
	is := is.New(t)
	f, env := newFakeVM(t)
	file := filepath.Join(t.TempDir(), "table.csv")
	text := runBinary(t, env, "table", "get").stdout
	is.NoErr(os.WriteFile(file, []byte(strings.Replace(text, "30s", "30", 1)), 0o600))
	r := runBinary(t, env, "table", "apply", file)
	is.Equal(r.code, exitFailure)
	is.True(strings.Contains(r.stderr, "table.csv: line 3, column timeout"))
	is.Equal(f.latestVersion(), 1)
}

func TestProgram_ListShowAndCancel(t *testing.T) {
	_, env := newFakeVM(t)
	cases := []struct {
		name   string
		args   []string
		code   int
		stdout string // expected substring
		stderr string // expected substring
	}{
		{"list reads all pages", []string{"list", "--limit", "5000"}, exitOK, "amman-a.p1499", ""},
		{"list stops at the limit", []string{"list", "--limit", "1", "--json"}, exitOK, `"id": "amman-a.p0000"`, ""},
		{"list filters by workspace", []string{"list", "--workspace", "none", "--json"}, exitOK, "[]", ""},
		{"show prints the budget", []string{"show", "amman-a.p1"}, exitOK, "77/1000", ""},
		{"show reads the whole history", []string{"show", "--history", "amman-a.p1"}, exitOK, "\n3     ", ""},
		{"cancel accepts several programs", []string{"cancel", "amman-a.p1", "amman-a.p2"}, exitOK, "", "amman-a.p2: cancelled (2 of 2)"},
		{"cancel reports how many were cancelled before a failure", []string{"cancel", "amman-a.p1", "amman-a.gone"}, exitFailure, "", "amman-a.gone: there is no such program (status 404); 1 of 2 cancelled"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := runBinary(t, env, append([]string{"program"}, c.args...)...)
			is.Equal(r.code, c.code)
			is.True(strings.Contains(r.stdout, c.stdout))
			is.True(strings.Contains(r.stderr, c.stderr))
			is.True(!strings.Contains(r.stdout, "secret street")) // the text of turns is printed only with --json
		})
	}
}

func TestVM_ListAndDrain(t *testing.T) {
	is := is.New(t)
	_, env := newFakeVM(t)
	list := runBinary(t, env, "vm", "list")
	is.Equal(list.code, exitOK)
	is.True(strings.Contains(list.stdout, "unreachable"))
	drained := runBinary(t, env, "vm", "drain", "--wait", "20s", "amman-b-1")
	is.Equal(drained.code, exitOK)
	is.True(strings.Contains(drained.stderr, "amman-b-1: dead"))
}

func TestVM_DrainReportsAnUnknownOutcome(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			w.WriteHeader(http.StatusAccepted)
			return
		}
		panic(http.ErrAbortHandler) // the drained VM has exited
	}))
	defer server.Close()
	r := runBinary(t, nil, "vm", "drain", "--server", server.URL, "--wait", "1s", "amman-a-1")
	is.Equal(r.code, exitFailure)
	is.True(strings.Contains(r.stderr, "it is not known whether amman-a-1 is gone"))
}

func TestTimeline_TextJSONAndHTML(t *testing.T) {
	is := is.New(t)
	_, env := newFakeVM(t)
	text := runBinary(t, env, "timeline", "--program", "amman-a.p1")
	is.Equal(text.code, exitOK)
	is.True(strings.Index(text.stdout, "VM died") < strings.Index(text.stdout, "program adopted")) // in causal order
	one := runBinary(t, env, "timeline", "--kind", "VM died", "--json")
	is.True(!strings.Contains(one.stdout, "adopted"))
	page := filepath.Join(t.TempDir(), "timeline.html")
	is.Equal(runBinary(t, env, "timeline", "--html", page).code, exitOK)
	html, err := os.ReadFile(page)
	is.NoErr(err)
	is.True(strings.Contains(string(html), "program adopted"))
}

func TestRemote_RefusesAKeyFileOpenToOthersAndReportsAWrongKey(t *testing.T) {
	is := is.New(t)
	_, env := newFakeVM(t)
	keyFile := filepath.Join(t.TempDir(), "other.key")
	is.NoErr(os.WriteFile(keyFile, []byte("wrong"), 0o644))
	open := runBinary(t, env, "vm", "list", "--key-file", keyFile)
	is.Equal(open.code, exitFailure)
	is.True(strings.Contains(open.stderr, "open to others"))
	is.NoErr(os.Chmod(keyFile, 0o600))
	wrong := runBinary(t, env, "vm", "list", "--key-file", keyFile)
	is.Equal(wrong.code, exitFailure)
	is.True(strings.Contains(wrong.stderr, "not accepted (status 401)"))
}

func TestRemote_VerifiesTheServersCertificate(t *testing.T) {
	is := is.New(t)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, []any{}) }))
	server.Config.ErrorLog = log.New(io.Discard, "", 0) // handshake errors are expected
	server.StartTLS()
	defer server.Close()
	ca := filepath.Join(t.TempDir(), "ca.pem")
	block := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
	is.NoErr(os.WriteFile(ca, block, 0o600))
	is.Equal(runBinary(t, nil, "vm", "list", "--json", "--server", server.URL, "--ca-file", ca).code, exitOK)
	unknown := runBinary(t, nil, "vm", "list", "--server", server.URL)
	is.Equal(unknown.code, exitFailure)
	is.True(strings.Contains(unknown.stderr, "certificate"))
}
