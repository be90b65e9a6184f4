package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	startTimeout    = 20 * time.Second // for a started process to print its address
	adoptionTimeout = 60 * time.Second // for a new VM to adopt the programs of a killed one
)

// startProcess runs the binary until the test ends and returns the address that
// parseAddress finds in its output. parseAddress returns "" for other lines.
func startProcess(t *testing.T, parseAddress func(line string) string, args ...string) (string, *exec.Cmd) {
	t.Helper()
	is := is.New(t)
	reader, writer, err := os.Pipe()
	is.NoErr(err)
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = writer, writer
	is.NoErr(cmd.Start())
	is.NoErr(writer.Close())
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have exited
		_ = cmd.Wait()
		_ = reader.Close()
	})
	is.NoErr(reader.SetReadDeadline(time.Now().Add(startTimeout)))
	lines := bufio.NewScanner(reader)
	for lines.Scan() {
		if addr := parseAddress(lines.Text()); addr != "" {
			is.NoErr(reader.SetReadDeadline(time.Time{}))
			go io.Copy(io.Discard, reader) // ends when the process exits
			return addr, cmd
		}
	}
	t.Fatalf("%v printed no address: %v", args, lines.Err())
	return "", nil
}

// addressLine returns a line that consists of the address alone.
func addressLine(line string) string { return line }

// servingAddress returns the address for callers from a line of a VM's log.
func servingAddress(line string) string {
	var entry struct {
		Message string `json:"message"`
		Address string `json:"address"`
	}
	if json.Unmarshal([]byte(line), &entry) != nil || entry.Message != "serving" {
		return ""
	}
	return entry.Address
}

// deployment is a stand-in platform, a stand-in tool and a settings file for
// VMs, all on loopback.
type deployment struct {
	dir          string   // directory of the deployment's files
	config       string   // path of the VMs' settings file
	workspaceKey string   // set by applyTable
	env          []string // environment variables of the operator's subcommands, NAME=value
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	is := is.New(t)
	d := &deployment{dir: t.TempDir()}
	platform, _ := startProcess(t, addressLine, "standin", "platform")
	tool, _ := startProcess(t, addressLine, "standin", "tool", "--name", "t1")
	keyFile := filepath.Join(d.dir, "operator.key")
	generated := runBinary(t, nil, "key", "generate", "--output", keyFile)
	is.Equal(generated.code, exitOK)
	hash := strings.TrimSpace(strings.TrimPrefix(generated.stdout, "hash:"))
	is.NoErr(os.WriteFile(filepath.Join(d.dir, "operators"), []byte(hash), 0o600))
	d.env = []string{"IBISSTALL_KEY_FILE=" + keyFile}
	d.config = filepath.Join(d.dir, "vm.ini")
	text := fmt.Sprintf(`[vm]
dc = amman-a
region = amman
listen = 127.0.0.1:0
mesh_listen = 127.0.0.1:0
gossip_listen = 127.0.0.1:0
admin_listen = 127.0.0.1:0
[platform]
table_url = http://%[1]s
objects_url = http://%[1]s
vm_list_url = http://%[1]s
[keys]
operator_keys_file = operators
[endpoint t1]
kind = tool
url = http://%[2]s
dc = amman-a
target = dispatch
`, platform, tool)
	is.NoErr(os.WriteFile(d.config, []byte(text), 0o600))
	is.Equal(runBinary(t, nil, "check-config", "--config", d.config).code, exitOK)
	return d
}

// startVM starts a VM, directs the operator's subcommands to it and returns its
// address for callers.
func (d *deployment) startVM(t *testing.T) (string, *exec.Cmd) {
	addr, cmd := startProcess(t, servingAddress, "serve", "--config", d.config)
	d.env = append(d.env, "IBISSTALL_SERVER=http://"+addr)
	return addr, cmd
}

// applyTable adds a workspace with a new key and the tool dispatch to the table in
// force.
func (d *deployment) applyTable(t *testing.T) {
	t.Helper()
	is := is.New(t)
	var key struct{ Key, Hash string }
	is.NoErr(json.Unmarshal([]byte(runBinary(t, nil, "key", "generate", "--json").stdout), &key))
	d.workspaceKey = key.Key
	file := filepath.Join(d.dir, "table.csv")
	is.Equal(runBinary(t, d.env, "table", "get", "--output", file).code, exitOK)
	text, err := os.ReadFile(file)
	is.NoErr(err)
	text = append(text, "workspace,rounds,2,,,,,,,"+key.Hash+"\ntool,dispatch,,,,,10s,,,\n"...)
	is.NoErr(os.WriteFile(file, text, 0o600))
	applied := runBinary(t, d.env, "table", "apply", file)
	is.Equal(applied.code, exitOK)
	is.Equal(strings.Count(applied.stdout, "\n+ ")+strings.Count(applied.stdout, "+ workspace"), 2)
}

// post sends a caller's request and returns the status and the decoded response.
func (d *deployment) post(t *testing.T, url, idempotencyKey, body string) (int, map[string]any) {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader([]byte(body)))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+d.workspaceKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", idempotencyKey)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	var decoded map[string]any
	is.NoErr(json.NewDecoder(resp.Body).Decode(&decoded))
	return resp.StatusCode, decoded
}

// ready reports whether a VM's readiness check succeeds.
func ready(t *testing.T, addr string) bool {
	t.Helper()
	resp, err := http.Get("http://" + addr + "/readyz")
	is.New(t).NoErr(err)
	resp.Body.Close()
	return resp.StatusCode == http.StatusNoContent
}

func TestDeployment_OperatorCommandsWorkAfterAVMIsKilled(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	addr, vm := d.startVM(t)
	d.applyTable(t)

	status, program := d.post(t, "http://"+addr+"/v1/programs", "p1", `{"budget": {"tokens": 1000, "turns": 10, "seconds": 600}}`)
	is.Equal(status, http.StatusCreated)
	id := program["id"].(string)
	call := "/v1/programs/" + id + "/tools/dispatch"
	status, response := d.post(t, "http://"+addr+call, "d1", `{"street": 7}`)
	is.Equal(status, http.StatusOK)

	is.True(strings.Contains(runBinary(t, d.env, "program", "list").stdout, id))
	is.True(strings.Contains(runBinary(t, d.env, "timeline", "--program", id).stdout, "intent written"))
	is.True(strings.Contains(runBinary(t, d.env, "vm", "list").stdout, "alive"))

	is.NoErr(vm.Process.Kill())
	addr, vm = d.startVM(t)
	deadline := time.Now().Add(adoptionTimeout)
	for { // until the new VM has applied the table and owns the program
		shown := runBinary(t, d.env, "program", "show", "--history", id)
		if shown.code == exitOK && strings.Contains(shown.stdout, "dispatch") && ready(t, addr) {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("the program was not adopted: %s%s", shown.stdout, shown.stderr)
		}
	}
	status, repeated := d.post(t, "http://"+addr+call, "d1", `{"street": 7}`)
	is.Equal(status, http.StatusOK)
	is.Equal(repeated, response) // read from the journal; the call was not resent

	cancelled := runBinary(t, d.env, "program", "cancel", id)
	is.Equal(cancelled.code, exitOK)
	is.True(strings.Contains(cancelled.stderr, "cancelled"))

	is.NoErr(vm.Process.Signal(syscall.SIGTERM))
	is.NoErr(vm.Wait()) // drains and exits without an error
}
