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

// Handler returns the handler of the HTTP interface.
func (f *Front) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	encoder := goahttp.ResponseEncoder
	// A response that can't be written affects only its caller.
	onError := func(context.Context, http.ResponseWriter, error) {}
	programsserver.Mount(mux, programsserver.New(programs.NewEndpoints(programService{f}), mux, strictDecoder, encoder, onError, formatError))
	callsserver.Mount(mux, callsserver.New(calls.NewEndpoints(callService{f}), mux, strictDecoder, encoder, onError, formatError))
	tableserver.Mount(mux, tableserver.New(table.NewEndpoints(tableService{f}), mux, strictDecoder, encoder, onError, formatError))
	fleetserver.Mount(mux, fleetserver.New(fleet.NewEndpoints(fleetService{f}), mux, strictDecoder, encoder, onError, formatError))
	healthserver.Mount(mux, healthserver.New(health.NewEndpoints(healthService{f}), mux, strictDecoder, encoder, onError, formatError))
	return f.limitRequests(withTypedErrors(mux))
}

// strictDecoder decodes JSON bodies and rejects unknown fields and trailing data.
func strictDecoder(r *http.Request) goahttp.Decoder { return &jsonDecoder{r.Body} }

type jsonDecoder struct{ body io.Reader }

// Decode implements goahttp.Decoder.
func (d *jsonDecoder) Decode(v any) error {
	dec := json.NewDecoder(d.body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return decodeError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return goa.DecodePayloadError("the body has something behind its object")
	}
	return nil
}

// unknownFieldPrefix is the start of encoding/json's error message for an unknown
// field; the quoted name follows.
const unknownFieldPrefix = "json: unknown field "

// decodeError converts an error of encoding/json that names a field to a decoding
// error with that field. It returns other errors unchanged.
func decodeError(err error) error {
	message, field := "", ""
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrongType) && wrongType.Field != "":
		field = wrongType.Field
		message = field + " has the wrong type"
	case strings.HasPrefix(err.Error(), unknownFieldPrefix):
		field = strings.Trim(strings.TrimPrefix(err.Error(), unknownFieldPrefix), `"`)
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

// writeError writes the error response to a request that was rejected before it
// reached a method of the design.
func writeError(w http.ResponseWriter, b *errorBody) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Ibisstall-Error", b.Error.Type)
	if b.retryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(b.retryAfterSeconds))
	}
	w.WriteHeader(b.status)
	// Fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(b)
}

// withTypedErrors replaces the mux's plain-text responses to unknown paths and
// methods by typed errors.
func withTypedErrors(mux goahttp.ResolverMuxer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mux.ServeHTTP(&typedErrorWriter{ResponseWriter: w}, r)
	})
}

// typedErrorWriter replaces a plain-text 404 or 405 by a typed error, and adds
// the Ibisstall-Error header to decoding errors.
type typedErrorWriter struct {
	http.ResponseWriter
	replaced bool // a typed error was written; further writes are discarded
}

// namesBeforeMethod maps statuses to the names of errors that occur before a method
// of the design is called. formatError provides their typed bodies; only the
// Ibisstall-Error header has to be added.
var namesBeforeMethod = map[int]string{
	http.StatusBadRequest:          nameBadRequest,
	http.StatusInternalServerError: nameInternal,
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *typedErrorWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *typedErrorWriter) WriteHeader(status int) {
	typed := w.Header().Get("Ibisstall-Error") != "" || w.Header().Get("goa-error") != ""
	unrouted := (status == http.StatusNotFound || status == http.StatusMethodNotAllowed) && !typed
	if !unrouted {
		if name, ok := namesBeforeMethod[status]; ok && !typed {
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
	writeError(w.ResponseWriter, newErrorBody(newFailure(name, http.StatusText(status), ""), status))
}

// Write implements http.ResponseWriter.
func (w *typedErrorWriter) Write(b []byte) (int, error) {
	if w.replaced {
		return len(b), nil
	}
	return w.ResponseWriter.Write(b)
}
