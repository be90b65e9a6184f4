package forwarder

import (
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/policy/resumption"
	"ibisstall.example/ibisstall/internal/system/dispatch"
	"ibisstall.example/ibisstall/internal/system/streams"
)

// errOtherVersion means that the scheduler assigned an endpoint whose software version, as
// this VM knows, is not that of the stream.
var errOtherVersion = errors.New("assigned endpoint has another software version than the stream")

// streamVersion is the software version of the endpoint that made a stream's first event:
// what two versions write doesn't fit together, so the stream may go on only there.
type streamVersion struct {
	begun      bool // the stream has a first event
	version    string
	origin     resumption.Origin // of version if the caller takes the stream up, else empty
	recordedAt time.Time
}

// pinToOrigin finds out which version began the stream that the caller takes up. It refuses
// the request if that is unknown.
func (x *exchange) pinToOrigin() bool {
	query := streams.Query{Service: x.service.Name, Attempt: x.request.FirstAttempt, Wait: x.wait()}
	version, origin := x.f.Streams.Resolve(x.drain.startCtx, query)
	x.stream = streamVersion{begun: true, version: version, origin: origin}
	x.f.Metrics.resumedStreams.With(string(origin)).Inc()
	if origin == resumption.Unknown {
		x.refuse(http.StatusServiceUnavailable, "software version of the stream unknown", defaultRetryAfter)
		return false
	}
	x.recordVersion()
	return true
}

// recordFirstEvent records the version of the endpoint whose events are about to be
// forwarded, if they are the stream's first ones, and again if that was long ago.
func (x *exchange) recordFirstEvent() {
	switch {
	case !x.stream.begun:
		x.stream = streamVersion{begun: true, version: x.softwareVersion}
		x.recordVersion()
	case time.Since(x.stream.recordedAt) > streams.Retention/2:
		x.recordVersion()
	}
}

// recordVersion records the version of the stream under the attempt that began it. The stream of
// a turn that is kept has no attempt, since it can't be taken up.
func (x *exchange) recordVersion() {
	attempt := x.request.ID
	switch {
	case x.retained():
		attempt = ""
	case x.request.LastEventID != "":
		attempt = x.request.FirstAttempt
	}
	x.stream.recordedAt = time.Now()
	x.f.Streams.Record(streams.Record{Service: x.service.Name, Attempt: attempt, Version: x.stream.version, Wait: x.wait()})
}

// wait returns for how long the caller said that it waits.
func (x *exchange) wait() time.Duration { return x.request.Deadline.Sub(x.request.Arrived) }

// versionOf returns the software version of a slot's endpoint, empty if unknown.
func (x *exchange) versionOf(slot *dispatch.Slot) string {
	return x.f.Endpoints.SoftwareVersion(slot.Endpoint, slot.Process, slot.EntryVersion, slot.SoftwareVersion)
}

// errVersionUnproven means that an endpoint whose connection broke may have started again with
// another software version.
var errVersionUnproven = errors.New("software version of the endpoint can't be confirmed after its connection broke")

// verifyVersion returns an error if the response that is to go on with the stream may come from
// another software version than its first events. An endpoint may have started again under its id
// since its entry was read, most of all one whose connection broke.
func (x *exchange) verifyVersion() error {
	current := x.f.Streams.Current(x.ctx, x.service.Name)
	if x.versionOf(x.slot) != x.stream.version {
		return errOtherVersion
	}
	if !current && x.interruptedAt == x.slot.Endpoint {
		return errVersionUnproven
	}
	return nil
}

// versionFields returns the log fields on the versions of the endpoint and the stream.
func (x *exchange) versionFields() []zap.Field {
	var fields []zap.Field
	if x.softwareVersion != "" {
		fields = append(fields, tag.SoftwareVersion(x.softwareVersion))
	}
	if x.stream.origin != "" {
		fields = append(fields, tag.FirstAttempt(x.request.FirstAttempt), tag.StreamVersion(x.stream.version), tag.StreamOrigin(string(x.stream.origin)))
	}
	return fields
}
