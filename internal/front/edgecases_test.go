package front_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestService_PathIsForwardedToTheRunnerUnchanged(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, time.Millisecond)
	a := api{t, f.VMs[0].URL(), f.WorkspaceKeys[ownWorkspace]}
	id := a.newProgram()
	r := a.send("POST", "/v1/programs/"+id+"/services/bookings/slots/a%3Fb%20c%23d%2Fe", "[[[ no JSON")
	is.Equal(r.status, 200)
	executions := f.Services["bookings"][0].Executions()
	is.Equal(len(executions), 1)
	is.Equal(executions[0].Path, "/slots/a%3Fb%20c%23d%2Fe")
	is.Equal(executions[0].Body, "[[[ no JSON")
}

func TestStream_ACallWhoseAnswerIsNeverReadIsCancelled(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 50*time.Microsecond)
	id := api{t, f.VMs[0].URL(), f.WorkspaceKeys[ownWorkspace]}.newProgram()
	conn, err := net.Dial("tcp", f.VMs[0].VM.Addr())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.(*net.TCPConn).SetReadBuffer(4 << 10))
	body := `{"model":"small","stream":true,"max_tokens":90000,"messages":[{"role":"user","content":"##tokens:90000"}]}`
	fmt.Fprintf(conn, "POST /v1/programs/%s/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", id, f.WorkspaceKeys[ownWorkspace], len(body), body)
	eventually(t, "the engine has cancelled the call", func() bool { return f.Engines[0].Counters().Cancelled == 1 })
}

func TestChat_MaxTokensBeyondTheCapIsAccepted(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, time.Millisecond)
	a := api{t, f.VMs[0].URL(), f.WorkspaceKeys[ownWorkspace]}
	id := a.newProgram()
	for _, bound := range []string{"9000000000000000000", "2000000000", "50000000"} {
		r := a.send("POST", "/v1/programs/"+id+"/chat/completions",
			`{"model":"small","max_tokens":`+bound+`,"messages":[{"role":"user","content":[{"type":"text","text":"##say:a"}]}]}`)
		is.Equal(r.status, 200)
	}
}
