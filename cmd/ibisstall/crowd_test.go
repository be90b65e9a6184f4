package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The crowd of a test, and what a VM with the limits of crowdLimits may use while it lasts.
const (
	crowdLimits      = "[limits]\nbody_bytes = 4MiB\nbodies_bytes = 8MiB\nconnections = 200\nslow_sender = 5s\n"
	crowdCallers     = 64
	crowdConnections = 600
	crowdBodyBytes   = 4 << 20
	crowdPeakKB      = 60 << 10 // resident
	crowdDescriptors = 400
	crowdStayTime    = 2 * time.Second
	crowdWriteTime   = 5 * time.Second
	crowdAnswerTime  = time.Minute
)

// Callers that nobody controls made a process end, since it ran out of memory.
func TestServe_OutlivesCallers(t *testing.T) {
	const piece = 64 << 10
	data := strings.Repeat("x", piece)
	chunk := func(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, data[:n]) }
	sized := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		name, header, text string
		callers, times     int
	}{
		{"that send large bodies whole", sized(crowdBodyBytes), data, crowdCallers, crowdBodyBytes / piece},
		{"that stop just short of the end of large bodies", sized(crowdBodyBytes + 1), data, crowdCallers, crowdBodyBytes / piece},
		{"that stop short of the end of bodies in large chunks", chunked, chunk(piece), crowdCallers, crowdBodyBytes/piece - 1},
		{"that stop short of the end of bodies in small chunks", chunked, chunk(16), crowdCallers, 1 << 16},
		{"that announce bodies over the limit", sized(16 * crowdBodyBytes), data, crowdCallers, 2 * crowdBodyBytes / piece},
		{"that send bodies over the limit", chunked, chunk(piece), crowdCallers, 2 * crowdBodyBytes / piece},
		{"that send heads without end", "", "A: " + data[:57] + "\r\n", crowdConnections, 1000},
		{"that send nothing", "", "", crowdConnections, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t)
			config, err := os.OpenFile(d.config, os.O_APPEND|os.O_WRONLY, 0)
			is.NoErr(err)
			_, err = config.WriteString(crowdLimits)
			is.NoErr(err)
			is.NoErr(config.Close())
			addr, vm := d.startVM(t)
			d.applyTable(t)
			head := "POST /v1/programs HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + d.workspaceKey + "\r\n" + tt.header
			leave := make(chan struct{})
			var sent, left sync.WaitGroup
			for range tt.callers {
				sent.Add(1)
				left.Go(func() {
					done := sync.OnceFunc(sent.Done)
					defer done()
					c, err := net.Dial("tcp", addr)
					if err != nil {
						return
					}
					defer c.Close()
					_ = c.SetWriteDeadline(time.Now().Add(crowdWriteTime)) // the VM may have closed the connection
					w := bufio.NewWriterSize(c, piece)
					if tt.times > 0 {
						_, err = io.WriteString(w, head)
					}
					for i := 0; i < tt.times && err == nil; i++ {
						_, err = io.WriteString(w, tt.text)
					}
					_ = w.Flush()
					done()
					<-leave
				})
			}
			sent.Wait()
			time.Sleep(crowdStayTime)
			files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", vm.Process.Pid))
			is.NoErr(err) // the process lives
			d.awaitProgram(t, addr)
			close(leave)
			left.Wait()
			status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", vm.Process.Pid))
			is.NoErr(err)
			_, text, _ := strings.Cut(string(status), "VmHWM:")
			peak, err := strconv.Atoi(strings.Fields(text)[0])
			is.NoErr(err)
			t.Logf("%d descriptors, %d MB resident at the peak", len(files), peak>>10)
			is.True(len(files) <= crowdDescriptors)
			is.True(peak <= crowdPeakKB)
		})
	}
}

// awaitProgram creates a program, as often as it takes.
func (d *deployment) awaitProgram(t *testing.T, addr string) {
	t.Helper()
	client := &http.Client{Timeout: crowdAnswerTime, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(crowdAnswerTime); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+"/v1/programs", strings.NewReader(`{"budget": {"tokens": 1000, "turns": 10, "seconds": 600}}`))
		is.New(t).NoErr(err)
		req.Header.Set("Authorization", "Bearer "+d.workspaceKey)
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("Idempotency-Key", "p1")
		if resp, err := client.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusCreated {
				return
			}
		}
	}
	t.Fatal("an ordinary request was not served")
}
