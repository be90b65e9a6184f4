package front

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"ibisstall.example/ibisstall/gen/calls"
	"ibisstall.example/ibisstall/gen/fleet"
	"ibisstall.example/ibisstall/gen/health"
	callsserver "ibisstall.example/ibisstall/gen/http/calls/server"
	fleetserver "ibisstall.example/ibisstall/gen/http/fleet/server"
	healthserver "ibisstall.example/ibisstall/gen/http/health/server"
	programsserver "ibisstall.example/ibisstall/gen/http/programs/server"
	tableserver "ibisstall.example/ibisstall/gen/http/table/server"
	"ibisstall.example/ibisstall/gen/programs"
	"ibisstall.example/ibisstall/gen/table"
	"ibisstall.example/ibisstall/gen/types"
)

// Handler returns the HTTP interface.
func (f *Front) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	encoder := goahttp.ResponseEncoder
	// An answer that can't be written any more concerns only its caller.
	onError := func(context.Context, http.ResponseWriter, error) {}
	programsserver.Mount(mux, programsserver.New(programs.NewEndpoints(programService{f}), mux, strictDecoder, encoder, onError, formatError))
	callsserver.Mount(mux, callsserver.New(calls.NewEndpoints(callService{f}), mux, strictDecoder, encoder, onError, formatError))
	tableserver.Mount(mux, tableserver.New(table.NewEndpoints(tableService{f}), mux, strictDecoder, encoder, onError, formatError))
	fleetserver.Mount(mux, fleetserver.New(fleet.NewEndpoints(fleetService{f}), mux, strictDecoder, encoder, onError, formatError))
	healthserver.Mount(mux, healthserver.New(health.NewEndpoints(healthService{f}), mux, strictDecoder, encoder, onError, formatError))
	return f.limited(typedNotFound(mux))
}

// strictDecoder decodes JSON bodies and refuses unknown fields and anything
// behind the object.
func strictDecoder(r *http.Request) goahttp.Decoder { return &jsonDecoder{r.Body} }

type jsonDecoder struct{ body io.Reader }

// Decode implements goahttp.Decoder.
func (d *jsonDecoder) Decode(v any) error {
	dec := json.NewDecoder(d.body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return fieldError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return goa.DecodePayloadError("the body has something behind its object")
	}
	return nil
}

// unknownField starts the message of encoding/json on a field that the target
// doesn't have; the quoted name follows.
const unknownField = "json: unknown field "

// fieldError adds the field to an error of encoding/json that tells it.
func fieldError(err error) error {
	message, field := "", ""
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrongType) && wrongType.Field != "":
		field = wrongType.Field
		message = field + " has the wrong type"
	case strings.HasPrefix(err.Error(), unknownField):
		field = strings.Trim(strings.TrimPrefix(err.Error(), unknownField), `"`)
		message = "unknown field " + field
	default:
		return err
	}
	decode := &goa.ServiceError{}
	if errors.As(goa.DecodePayloadError(message), &decode) {
		decode.Field = &field
	}
	return decode
}

// limited reads each body whole, within the limits on size, time and depth,
// before the request costs anything else.
func (f *Front) limited(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, refused := f.readLimited(w, r)
		if refused != nil {
			w.Header().Set("Connection", "close")
			writeError(w, refused)
			return
		}
		// A stream moves this deadline with each event.
		limit := f.o.Limits.RequestTimeout + f.o.Limits.Unread
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(limit))
		r.Body = io.NopCloser(bytes.NewReader(body))
		r.ContentLength = int64(len(body))
		next.ServeHTTP(w, r)
	})
}

func (f *Front) readLimited(w http.ResponseWriter, r *http.Request) ([]byte, *errorBody) {
	if headerBytes(r) > f.o.Limits.Header {
		message := "the header is larger than " + strconv.FormatInt(f.o.Limits.Header, 10) + " bytes"
		return nil, bodyOf(failure(nameTooLarge, message, "header"), http.StatusRequestHeaderFieldsTooLarge)
	}
	if r.ContentLength == 0 || r.Body == nil {
		return nil, nil
	}
	if err := f.known(r); err != nil {
		return nil, bodyOf(err, statusOfUnknown(err))
	}
	control := http.NewResponseController(w)
	// A server without deadlines has a limit on the whole request instead.
	_ = control.SetReadDeadline(time.Now().Add(f.o.Limits.SlowSender))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, f.o.Limits.Body))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		message := "the body is larger than " + strconv.FormatInt(f.o.Limits.Body, 10) + " bytes"
		return nil, bodyOf(failure(nameTooLarge, message, "body"), http.StatusRequestEntityTooLarge)
	case err != nil:
		return nil, bodyOf(failure(nameTimeout, "the body did not come whole in time", "body"), http.StatusRequestTimeout)
	case !checkDepth(body, f.o.Limits.JSONDepth):
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

// writeError writes an error outside the methods of the design.
func writeError(w http.ResponseWriter, b *errorBody) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Ibisstall-Error", b.Error.Type)
	if b.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(b.retryAfter))
	}
	w.WriteHeader(b.status)
	// The caller has gone if this fails.
	_ = json.NewEncoder(w).Encode(b)
}

// typedNotFound replaces the plain answers of the mux to unknown paths and
// methods by typed ones.
func typedNotFound(mux goahttp.ResolverMuxer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mux.ServeHTTP(&notFoundWriter{ResponseWriter: w}, r)
	})
}

// notFoundWriter turns a plain-text 404 or 405 into a typed error, and names
// the type of errors in decoding in their header.
type notFoundWriter struct {
	http.ResponseWriter
	replaced bool
}

// namesOfUndecoded are the types of errors that arise before a method of the
// design is reached; their bodies are typed already.
var namesOfUndecoded = map[int]string{
	http.StatusBadRequest:          nameBadRequest,
	http.StatusInternalServerError: nameInternal,
}

// Unwrap gives http.ResponseController the writer below.
func (w *notFoundWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *notFoundWriter) WriteHeader(status int) {
	typed := w.Header().Get("Ibisstall-Error") != "" || w.Header().Get("goa-error") != ""
	unrouted := (status == http.StatusNotFound || status == http.StatusMethodNotAllowed) && !typed
	if !unrouted {
		if name, undecoded := namesOfUndecoded[status]; undecoded && !typed {
			w.Header().Set("Ibisstall-Error", name)
		}
		w.ResponseWriter.WriteHeader(status)
		return
	}
	w.replaced = true
	w.Header().Del("Content-Length")
	name := nameNotFound
	if status == http.StatusMethodNotAllowed {
		name = nameBadRequest
	}
	writeError(w.ResponseWriter, bodyOf(failure(name, http.StatusText(status), ""), status))
}

// Write implements http.ResponseWriter.
func (w *notFoundWriter) Write(b []byte) (int, error) {
	if w.replaced {
		return len(b), nil
	}
	return w.ResponseWriter.Write(b)
}
