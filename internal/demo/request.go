package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// request is an HTTP request of a caller; key is its idempotency key.
type request struct {
	method, path, body, key string
}

// send sends a request to the next VM in round-robin order, as a load balancer
// would. It returns the response, whose body the caller must close, and the VM's
// id. A status of 400 or above is an error.
func (d *demo) send(ctx context.Context, c *conversation, r request) (*http.Response, string, error) {
	m := d.fleet.VMs[d.requests%len(d.fleet.VMs)]
	d.requests++
	req, err := http.NewRequestWithContext(ctx, r.method, m.URL()+r.path, strings.NewReader(r.body))
	if err != nil {
		return nil, "", err
	}
	req.Header.Set("Authorization", "Bearer "+d.fleet.WorkspaceKeys[c.workspace])
	req.Header.Set("Content-Type", "application/json")
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, "", err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		defer resp.Body.Close()
		raw, _ := io.ReadAll(resp.Body) // best effort; the status is the error
		return nil, "", fmt.Errorf("%s %s: status %d: %s", r.method, r.path, resp.StatusCode, raw)
	}
	return resp, m.VM.ID(), nil
}

// doJSON sends a request and decodes its JSON response.
func (d *demo) doJSON(ctx context.Context, c *conversation, r request, response any) error {
	resp, _, err := d.send(ctx, c, r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(response); err != nil {
		return fmt.Errorf("%s %s: decode response: %w", r.method, r.path, err)
	}
	return nil
}

// chunk contains the fields of a streamed chunk that are used.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// stream sends a model call and prints the answer as it arrives.
func (d *demo) stream(ctx context.Context, c *conversation, r request) error {
	resp, vmID, err := d.send(ctx, c, r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	d.printf("  agent:  ")
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			d.printf("   (through %s)\n", vmID)
			return nil
		}
		var part chunk
		if err := json.Unmarshal([]byte(data), &part); err != nil {
			return fmt.Errorf("malformed chunk: %w", err)
		}
		if part.Error != nil {
			return fmt.Errorf("the stream failed: %s", part.Error.Message)
		}
		for _, choice := range part.Choices {
			d.printf("%s", choice.Delta.Content)
		}
	}
	return fmt.Errorf("the stream ended without a [DONE] event")
}
