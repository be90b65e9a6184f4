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

// limited reads each body whole, within the limits on size, time and depth,
// before the request costs anything else.
func (f *Front) limited(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refused := f.checkHeader(r); refused != nil {
			w.Header().Set("Connection", "close")
			writeError(w, refused)
			return
		}
		room := bodyRoom(r, f.o.Limits.MaxBodyBytes)
		if !f.bodies.take(room) {
			w.Header().Set("Connection", "close")
			writeError(w, tooManyBodies())
			return
		}
		defer f.bodies.give(room)
		body, refused := f.readLimited(w, r)
		if refused != nil {
			w.Header().Set("Connection", "close")
			writeError(w, refused)
			return
		}
		// A stream moves this deadline with each event.
		limit := f.o.Limits.RequestTimeout + f.o.Limits.WriteStallTimeout
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(limit))
		r.Body = io.NopCloser(bytes.NewReader(body))
		r.ContentLength = int64(len(body))
		next.ServeHTTP(w, r.WithContext(withServicePath(r)))
	})
}

// servicePathKey is the context key of the path of a service call.
type servicePathKey struct{}

// withServicePath returns the request's context with the path that a service
// call is for, escaped as the caller sent it. The mux decodes it, after which
// an escaped slash can't be told from a plain one.
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

// checkHeader refuses a request by its header alone.
func (f *Front) checkHeader(r *http.Request) *errorBody {
	if headerBytes(r) > f.o.Limits.MaxHeaderBytes {
		message := "the header is larger than " + strconv.FormatInt(f.o.Limits.MaxHeaderBytes, 10) + " bytes"
		return bodyOf(failure(nameTooLarge, message, "header"), http.StatusRequestHeaderFieldsTooLarge)
	}
	if passedOn(r.URL.Path) && r.URL.RawQuery != "" {
		return bodyOf(failure(nameBadRequest, "the query of a call is not passed on; put it into the body", "query"), http.StatusBadRequest)
	}
	if !hasBody(r) {
		return nil
	}
	if err := f.known(r); err != nil {
		return bodyOf(err, statusOfUnknown(err))
	}
	return nil
}

func hasBody(r *http.Request) bool { return r.ContentLength != 0 && r.Body != nil }

// passedOn reports whether a path is that of a call whose body goes to a
// runner as it is.
func passedOn(path string) bool {
	parts := strings.SplitN(path, "/", 6) // "", v1, programs, id, kind, name
	return len(parts) == 6 && parts[2] == "programs" && (parts[4] == "tools" || parts[4] == "services")
}

// bodyRoom returns the memory that a request's body may need, in bytes.
func bodyRoom(r *http.Request, most int64) int64 {
	switch {
	case !hasBody(r):
		return 0
	case r.ContentLength < 0 || r.ContentLength > most:
		return most
	default:
		return r.ContentLength
	}
}

// roomFor bounds the bytes of the bodies that are held at once.
type roomFor struct {
	most int64
	used atomic.Int64
}

// take takes room if there is enough.
func (b *roomFor) take(n int64) bool {
	if n > 0 && b.used.Add(n) > b.most {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *roomFor) give(n int64) {
	if n > 0 {
		b.used.Add(-n)
	}
}

func tooManyBodies() *errorBody {
	return bodyOf(failure(nameOverloaded, "the VM holds as many request bodies as it may", ""), http.StatusTooManyRequests)
}

func (f *Front) readLimited(w http.ResponseWriter, r *http.Request) ([]byte, *errorBody) {
	if !hasBody(r) {
		return nil, nil
	}
	control := http.NewResponseController(w)
	// A server without deadlines has a limit on the whole request instead.
	_ = control.SetReadDeadline(time.Now().Add(f.o.Limits.BodyReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, f.o.Limits.MaxBodyBytes))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		message := "the body is larger than " + strconv.FormatInt(f.o.Limits.MaxBodyBytes, 10) + " bytes"
		return nil, bodyOf(failure(nameTooLarge, message, "body"), http.StatusRequestEntityTooLarge)
	case err != nil:
		return nil, bodyOf(failure(nameTimeout, "the body did not come whole in time", "body"), http.StatusRequestTimeout)
	case !passedOn(r.URL.Path) && !checkDepth(body, f.o.Limits.MaxJSONDepth):
		return nil, bodyOf(failure(nameBadRequest, "the body is nested too deeply", "body"), http.StatusBadRequest)
	}
	return body, nil
}

// statusOfUnknown returns the status of a refusal by Front.known.
func statusOfUnknown(f *types.Failure) int {
	if f.Name == nameNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusUnauthorized
}

// headerBytes returns the size of a request's line and header.
func headerBytes(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return int64(n)
}
