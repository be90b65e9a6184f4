package forwarder

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"ibisstall.example/ibisstall/internal/httpconn"
)

// errUnnamedRejection means that a rejection without a request id came on a connection that had
// been used before: a faulty endpoint may have written an earlier one once more.
var errUnnamedRejection = errors.New("rejection without a request id on a connection that was used before")

// provesNotRun reports whether a response guarantees that the request has not run.
func (x *exchange) provesNotRun(resp *http.Response) bool {
	return resp.Header.Get(x.f.Headers.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest
}

// handleRejection consumes a response that guarantees that a request has not run. It returns
// misdirected or endpointFull. A rejection without a request id counts on a new connection only,
// which is not used again then: a second copy couldn't be told from an answer to another request.
func (x *exchange) handleRejection(conn *httpconn.Conn, resp *http.Response) (outcome, error) {
	unnamed := resp.Header.Get(x.f.Headers.RequestID) == ""
	if unnamed && conn.Reused() {
		conn.Close()
		return interrupted, errUnnamedRejection
	}
	conn.Deadline = earlier(x.deadline, time.Now().Add(rejectionBodyTimeout))
	if err := conn.Discard(resp, maxRejectionBody); err != nil || unnamed {
		conn.Close() // also if the body has not ended: the caller doesn't wait for that
	} else {
		conn.Release(resp)
	}
	err := fmt.Errorf("endpoint rejected the request with status %d", resp.StatusCode)
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return misdirected, err
	}
	return endpointFull, err
}
