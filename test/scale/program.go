package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	policy "ibisstall.example/ibisstall/internal/policy/ownership"
)

// create creates a program through a VM.
func (f *fleet) create(p *process) (entity.ProgramID, error) {
	body := []byte(`{"budget":{"tokens":100000000,"turns":1000000,"seconds":36000}}`)
	req, err := f.request(http.MethodPost, p, "/v1/programs", body, f.workspaceKey)
	if err != nil {
		return "", err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var made struct {
		ID entity.ProgramID `json:"id"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&made); err != nil || resp.StatusCode != http.StatusCreated {
		return "", fmt.Errorf("create a program through %s: status %d, decoding the response: %v", p.http, resp.StatusCode, err)
	}
	return made.ID, nil
}

// createParallel is the number of programs that are created concurrently.
const createParallel = 64

// createMany creates programs, the i-th through vm(i), until n programs satisfy keep,
// and returns these n. If a creation fails, it stops and returns the error.
func (f *fleet) createMany(n int, vm func(i int) *process, keep func(entity.ProgramID) bool) ([]entity.ProgramID, error) {
	var (
		mu      sync.Mutex
		made    []entity.ProgramID
		failure error
		all     sync.WaitGroup
	)
	for worker := range createParallel {
		all.Go(func() {
			for i := worker; ; i += createParallel {
				mu.Lock()
				done := len(made) >= n || failure != nil
				mu.Unlock()
				if done {
					return
				}
				id, err := f.create(vm(i))
				mu.Lock()
				if err != nil {
					failure = err
				} else if keep(id) && len(made) < n {
					made = append(made, id)
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return made, failure
}

// owner returns the VM that owns a program while all VMs are alive.
func (f *fleet) owner(id entity.ProgramID) *process {
	return f.elected(func(view []entity.VM) (entity.VM, bool) { return policy.HomeDCOwner(id.Root(), view) })
}

// queue returns the VM that is elected to queue the calls of an endpoint, which is in
// data centre dc.
func (f *fleet) queue(endpoint, dc string) *process {
	return f.elected(func(view []entity.VM) (entity.VM, bool) {
		return policy.ElectedVM(policy.EndpointQueueRole(endpoint), dc, view)
	})
}

// batcher returns the VM that is elected to write to the platform for a data centre.
func (f *fleet) batcher(dc string) *process {
	return f.elected(func(view []entity.VM) (entity.VM, bool) {
		return policy.ElectedPlatformVM(policy.RoleBatcher, dc, view)
	})
}

// elected returns the VM that choose elects from a view in which all VMs are alive, or
// nil if it elects none.
func (f *fleet) elected(choose func([]entity.VM) (entity.VM, bool)) *process {
	var view []entity.VM
	for _, p := range f.vms {
		view = append(view, entity.VM{ID: p.id, DC: p.dc, State: entity.VMAlive, PlatformReachable: true})
	}
	vm, _ := choose(view)
	for _, p := range f.vms {
		if p.id == vm.ID {
			return p
		}
	}
	return nil
}

// timing contains the times of one call.
type timing struct {
	first  time.Duration // until the first event of a stream; 0 for other answers
	total  time.Duration // until the end of the answer
	events int           // number of events of the stream
}

// chatBody returns a request with a message of about size bytes, which makes the
// simulated engine answer with a number of tokens.
func chatBody(tokens, size int, stream bool) []byte {
	text := strings.Repeat("word ", size/5) + fmt.Sprintf("##tokens:%d", tokens)
	body, _ := json.Marshal(map[string]any{
		"model": model, "stream": stream, "messages": []map[string]string{{"role": "user", "content": text}},
	})
	return body
}

// chat makes a model call at the base URL of an engine or of a program.
func (f *fleet) chat(base string, body []byte) (timing, error) {
	var t timing
	req, err := http.NewRequest(http.MethodPost, base+"/chat/completions", bytes.NewReader(body))
	if err != nil {
		return t, err
	}
	req.Header.Set("Authorization", "Bearer "+f.workspaceKey)
	req.Header.Set("Content-Type", "application/json")
	began := time.Now()
	resp, err := f.client.Do(req)
	if err != nil {
		return t, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return t, fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "data: {") {
			t.events++
			if t.events == 1 {
				t.first = time.Since(began)
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return t, err
		}
	}
	t.total = time.Since(began)
	return t, nil
}

// programURL returns the base URL of a program at a VM.
func programURL(p *process, id entity.ProgramID) string {
	return "http://" + p.http + "/v1/programs/" + string(id)
}
