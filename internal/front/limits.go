package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"ibisstall.example/ibisstall/gen/types"
)

// limitRequests wraps a handler. It rejects a request with an invalid header, and
// reads the whole body of any other within the limits on size, time and nesting
// depth before it calls the handler.
func (f *Front) limitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if rejection := f.checkHeader(r); rejection != nil {
			w.Header().Set("Connection", "close")
			writeError(w, rejection)
			return
		}
		reserved := bodyReservation(r, f.options.Limits.MaxBodyBytes)
		if !f.bodyBytes.reserve(reserved) {
			w.Header().Set("Connection", "close")
			writeError(w, bodyMemoryExceeded())
			return
		}
		defer f.bodyBytes.release(reserved)
		body, rejection := f.readBodyWithinLimits(w, r)
		if rejection != nil {
			w.Header().Set("Connection", "close")
			writeError(w, rejection)
			return
		}
		// A stream replaces this deadline at each event.
		limit := f.options.Limits.RequestTimeout + f.options.Limits.WriteStallTimeout
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(limit))
		r.Body = io.NopCloser(bytes.NewReader(body))
		r.ContentLength = int64(len(body))
		next.ServeHTTP(w, r.WithContext(withServicePath(r)))
	})
}

// servicePathKey is the context key of the path of a service call.
type servicePathKey struct{}

// withServicePath returns the request's context with the path of a service
// call, escaped as the caller sent it. It runs before the mux, which unescapes
// the path and so loses the difference between an escaped slash and a plain one.
func withServicePath(r *http.Request) context.Context {
	parts := strings.SplitN(r.URL.EscapedPath(), "/", 7) // "", v1, programs, id, services, name, path
	if len(parts) < 7 || parts[4] != "services" {
		return r.Context()
	}
	return context.WithValue(r.Context(), servicePathKey{}, "/"+parts[6])
}

func servicePath(ctx context.Context) string {
	path, _ := ctx.Value(servicePathKey{}).(string)
	return path
}

// checkHeader returns the error of a request that can be rejected before its body
// is read, or nil.
func (f *Front) checkHeader(r *http.Request) *errorBody {
	if headerSize(r) > f.options.Limits.MaxHeaderBytes {
		message := "the header is larger than " + strconv.FormatInt(f.options.Limits.MaxHeaderBytes, 10) + " bytes"
		return newErrorBody(newFailure(nameTooLarge, message, "header"), http.StatusRequestHeaderFieldsTooLarge)
	}
	if forwardsRawBody(r.URL.Path) && r.URL.RawQuery != "" {
		return newErrorBody(newFailure(nameBadRequest, "the query of a call is not passed on; put it into the body", "query"), http.StatusBadRequest)
	}
	if !hasBody(r) {
		return nil
	}
	if err := f.requireKey(r); err != nil {
		return newErrorBody(err, unauthenticatedStatus(err))
	}
	return nil
}

func hasBody(r *http.Request) bool { return r.ContentLength != 0 && r.Body != nil }

// forwardsRawBody reports whether a path is that of a tool or service call, whose
// body is forwarded to a runner unchanged.
func forwardsRawBody(path string) bool {
	parts := strings.SplitN(path, "/", 6) // "", v1, programs, id, kind, name
	return len(parts) == 6 && parts[2] == "programs" && (parts[4] == "tools" || parts[4] == "services")
}

// bodyReservation returns the number of bytes to reserve for a request's body: its
// Content-Length, or limit if that is unknown or larger.
func bodyReservation(r *http.Request, limit int64) int64 {
	switch {
	case !hasBody(r):
		return 0
	case r.ContentLength < 0 || r.ContentLength > limit:
		return limit
	default:
		return r.ContentLength
	}
}

// byteBudget bounds the total bytes of the request bodies in memory.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve reserves n bytes. It returns false and reserves nothing if fewer are
// left.
func (b *byteBudget) reserve(n int64) bool {
	if n > 0 && b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *byteBudget) release(n int64) {
	if n > 0 {
		b.used.Add(-n)
	}
}

func bodyMemoryExceeded() *errorBody {
	return newErrorBody(newFailure(nameOverloaded, "the VM holds as many request bodies as it may", ""), http.StatusTooManyRequests)
}

func (f *Front) readBodyWithinLimits(w http.ResponseWriter, r *http.Request) ([]byte, *errorBody) {
	if !hasBody(r) {
		return nil, nil
	}
	control := http.NewResponseController(w)
	// Servers without support for deadlines limit the whole request instead.
	_ = control.SetReadDeadline(time.Now().Add(f.options.Limits.BodyReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, f.options.Limits.MaxBodyBytes))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		message := "the body is larger than " + strconv.FormatInt(f.options.Limits.MaxBodyBytes, 10) + " bytes"
		return nil, newErrorBody(newFailure(nameTooLarge, message, "body"), http.StatusRequestEntityTooLarge)
	case err != nil:
		return nil, newErrorBody(newFailure(nameTimeout, "the body did not come whole in time", "body"), http.StatusRequestTimeout)
	case !forwardsRawBody(r.URL.Path) && !checkDepth(body, f.options.Limits.MaxJSONDepth):
		return nil, newErrorBody(newFailure(nameBadRequest, "the body is nested too deeply", "body"), http.StatusBadRequest)
	}
	return body, nil
}

// unauthenticatedStatus returns the status of a rejection by Front.requireKey.
func unauthenticatedStatus(f *types.Failure) int {
	if f.Name == nameNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusUnauthorized
}

// headerSize returns the size of the request line and header in bytes.
func headerSize(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return int64(n)
}
