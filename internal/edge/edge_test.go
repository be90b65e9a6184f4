package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ibisstall.example/ibisstall/internal/keys"
	"ibisstall.example/ibisstall/internal/metric"
	"ibisstall.example/ibisstall/internal/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testSettings() *settings.Settings {
	s := settings.Default()
	s.VM.Listen, s.VM.AdminListen = "127.0.0.1:0", "127.0.0.1:0"
	s.TLS.ReloadEvery = 5 * time.Millisecond
	return s
}

// run starts an edge and returns it with a function that stops it.
func run(t *testing.T, s *settings.Settings, log *zap.Logger) (*Edge, func()) {
	t.Helper()
	is := is.New(t)
	e, err := Open(s, log)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx, metric.NewRegistry()) }()
	return e, func() {
		cancel()
		is.NoErr(<-done)
		e.Close()
	}
}

// eventually polls until cond holds.
func eventually(t *testing.T, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatal("the condition did not come true")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestEdge_ServesMetrics(t *testing.T) {
	is := is.New(t)
	e, stop := run(t, testSettings(), zap.NewNop())
	defer stop()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + e.AdminAddr() + "/metrics")
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.True(strings.Contains(string(body), "process_resident_memory_bytes"))
}

func TestEdge_TakesOverOperatorsKeysWhileItRuns(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	hashes, ini := filepath.Join(dir, "operators"), filepath.Join(dir, "vm.ini")
	old, fresh := keys.Generate(), keys.Generate()
	write := func(text string) { is.NoErr(os.WriteFile(hashes, []byte(text), 0o600)) }
	write(keys.HashOf(old).String())
	is.NoErr(os.WriteFile(ini, []byte("[vm]\ndc = d\nregion = r\nlisten = 127.0.0.1:0\nadmin_listen = 127.0.0.1:0\n"+
		"[platform]\ntable_url = http://127.0.0.1:1\nobjects_url = http://127.0.0.1:1\nvm_list_url = http://127.0.0.1:1\n"+
		"[keys]\noperator_keys_file = operators\n[tls]\nreload_every = 5ms\n"), 0o600))
	s, err := settings.Load(ini)
	is.NoErr(err)
	core, logged := observer.New(zap.ErrorLevel)
	e, stop := run(t, s, zap.New(core))
	defer stop()

	accepted := func(key string) bool { _, ok := e.Operators().Holder(key); return ok }
	is.True(accepted(old))
	write(keys.HashOf(old).String() + "\n" + keys.HashOf(fresh).String())
	eventually(t, func() bool { return accepted(fresh) })
	is.True(accepted(old)) // no gap
	write(keys.HashOf(fresh).String())
	eventually(t, func() bool { return !accepted(old) })
	write("nonsense") // a bad file changes nothing
	eventually(t, func() bool { return logged.Len() > 0 })
	is.True(accepted(fresh))
}

func TestEdge_BoundsTheConnectionsOfCallers(t *testing.T) {
	is := is.New(t)
	s := testSettings()
	s.Limits.Connections = 1
	e, stop := run(t, s, zap.NewNop())
	defer stop()
	accepted := make(chan net.Conn)
	go func() {
		defer close(accepted)
		for {
			conn, err := e.Callers().Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", e.Callers().Addr().String())
		is.NoErr(err)
		return conn
	}
	first, second := dial(), dial()
	defer first.Close()
	defer second.Close()
	held := <-accepted
	select {
	case <-accepted:
		t.Fatal("a second connection was accepted")
	case <-time.After(50 * time.Millisecond):
	}
	held.Close()
	(<-accepted).Close() // its turn has come
	is.NoErr(e.Callers().Close())
	_, open := <-accepted
	is.True(!open)
}

func TestOpen_ReportsATakenAddressAndAMissingCertificate(t *testing.T) {
	is := is.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer taken.Close()
	s := testSettings()
	s.VM.AdminListen = taken.Addr().String()
	_, err = Open(s, zap.NewNop())
	is.True(err != nil && strings.Contains(err.Error(), "monitoring"))

	s = testSettings()
	s.TLS.CertFile, s.TLS.KeyFile = "none.pem", "none.key"
	_, err = Open(s, zap.NewNop())
	is.True(errors.Is(err, os.ErrNotExist))
}
