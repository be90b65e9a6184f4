package vm_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/keys"
	"ibisstall.example/ibisstall/internal/settings"
	"ibisstall.example/ibisstall/internal/standin/freeaddr"
	"ibisstall.example/ibisstall/internal/standin/platformsvc"
	"ibisstall.example/ibisstall/internal/vm"
)

// singleVM is one VM with an empty platform.
type singleVM struct {
	vm       *vm.VM
	platform *platformsvc.Server
	operator string
	admin    string
}

func startSingleVM(t *testing.T, adjust func(*singleVM, *settings.Settings)) *singleVM {
	t.Helper()
	l := &singleVM{platform: platformsvc.NewServer(platformsvc.NewStore()), operator: keys.Generate()}
	server := httptest.NewServer(l.platform)
	t.Cleanup(server.Close)
	s := settings.Default()
	s.VM.DC, s.VM.Region, s.VM.ID = "amman-a", "amman", "a1"
	s.VM.Listen, s.VM.MeshListen, s.VM.GossipListen, s.VM.AdminListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Platform.TableURL, s.Platform.ObjectsURL, s.Platform.VMListURL = server.URL, server.URL, server.URL
	s.Keys.OperatorKeyHashes = []string{keys.HashKey(l.operator).String()}
	if adjust != nil {
		adjust(l, s)
	}
	var err error
	if l.vm, err = vm.New(s, zap.NewNop()); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.vm.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return l
}

func (l *singleVM) get(t *testing.T, url string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+l.operator)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for: " + what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestReady_VMAcceptsTheFirstTableAfterReadingThatThereIsNone(t *testing.T) {
	is := is.New(t)
	l := startSingleVM(t, nil)
	url := "http://" + l.vm.Addr()
	eventually(t, "ready", func() bool {
		status, _ := l.get(t, url+"/readyz")
		return status == http.StatusNoContent
	})
	req, err := http.NewRequest(http.MethodPut, url+"/v1/table", strings.NewReader(`{"rows":[]}`))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+l.operator)
	req.Header.Set("If-Match", `"0"`)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
}

func TestReady_VMWithoutAConfigurationIsNotReady(t *testing.T) {
	is := is.New(t)
	l := startSingleVM(t, func(l *singleVM, _ *settings.Settings) {
		is.NoErr(l.platform.SetControl(platformsvc.Control{Faults: []platformsvc.Fault{{Service: platformsvc.Table, Down: true}}}))
	})
	url := "http://" + l.vm.Addr()
	eventually(t, "the loss of the platform is an event", func() bool {
		_, body := l.get(t, url+"/v1/timeline")
		return strings.Contains(body, "platform unreachable")
	})
	// The VM can't verify a caller's key yet and must not reject it as invalid.
	req, err := http.NewRequest(http.MethodPost, url+"/v1/programs", strings.NewReader(`{}`))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+keys.Generate())
	for range 2 { // with a body and without
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(resp.Header.Get("Ibisstall-Error"), "not_run")
		is.Equal(resp.Header.Get("Retry-After"), "1")
		req.Method, req.Body, req.ContentLength = http.MethodGet, nil, 0
	}
	status, body := l.get(t, url+"/readyz")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"type":"not_run"`))
	is.NoErr(l.platform.SetControl(platformsvc.Control{}))
	eventually(t, "ready after the return of the platform", func() bool {
		status, _ := l.get(t, url+"/readyz")
		_, events := l.get(t, url+"/v1/timeline")
		return status == http.StatusNoContent && strings.Contains(events, "platform reachable")
	})
}

// sampleLine matches the name and the labels of a sample in the text format.
var sampleLine = regexp.MustCompile(`(?m)^([a-z_0-9]+)(?:\{([^}]*)\})? `)

func TestMetrics_NamesHaveUnitsAndLabelsAreBounded(t *testing.T) {
	is := is.New(t)
	l := startSingleVM(t, func(l *singleVM, s *settings.Settings) { s.VM.AdminListen = l.reserveAdmin(t) })
	resp, err := http.Get("http://" + l.vm.Addr() + "/v1/table") // without a key
	is.NoErr(err)
	resp.Body.Close()
	var text string
	eventually(t, "metrics with a count of events", func() bool {
		var status int
		status, text = l.get(t, "http://"+l.admin+"/metrics")
		return status == http.StatusOK && strings.Contains(text, "ibisstall_events_total")
	})
	if os.Getenv("SHOW_METRICS") != "" {
		t.Log(text)
	}
	unit := regexp.MustCompile(`_(total|seconds|bytes|tokens|ratio|count|version|info)$`)
	series := make(map[string]int)
	for _, m := range sampleLine.FindAllStringSubmatch(text, -1) {
		if !strings.HasPrefix(m[1], "ibisstall_") {
			continue // metrics of the process and the runtime
		}
		series[m[1]]++
		m[1] = regexp.MustCompile(`_(bucket|sum)$`).ReplaceAllString(m[1], "") // of a histogram
		if !unit.MatchString(m[1]) {
			t.Errorf("%s names no unit", m[1])
		}
	}
	for name, n := range series {
		if n > 65 {
			t.Errorf("%s has %d series", name, n)
		}
	}
	is.True(strings.Contains(text, `ibisstall_answers_total{status="401"} 1`))
	is.True(strings.Contains(text, "ibisstall_answer_seconds_count 1"))
	for _, name := range []string{"ibisstall_requests_open_count", "ibisstall_membership_bytes_sent_total", "ibisstall_config_version", "ibisstall_platform_reachable_count", "ibisstall_vms_alive_count"} {
		is.Equal(series[name], 1)
	}
}

// reserveAdmin sets and returns the address for metrics and health checks. Its IP
// address differs from that of the VM's other listeners, one of which could otherwise
// be assigned the same port first.
func (l *singleVM) reserveAdmin(t *testing.T) string {
	t.Helper()
	addrs, err := freeaddr.On("127.0.5.1", 1)
	if err != nil {
		t.Fatal(err)
	}
	l.admin = addrs[0]
	return l.admin
}
