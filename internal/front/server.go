package front

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

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
