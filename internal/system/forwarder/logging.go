package forwarder

import (
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/logging/tag"
)

// logAndMeasure logs the exchange, updates the metrics and aborts the connection
// to the caller if the response is incomplete.
func (x *exchange) logAndMeasure() {
	latency := time.Since(x.request.Arrived)
	x.f.Metrics.observe(x, latency)
	fields := []zap.Field{
		tag.Request(x.request.ID), tag.Status(x.status), tag.Duration(latency), tag.QueueWait(x.queueWait), tag.Endpoint(x.endpoint),
		tag.Attempts(x.possibleRuns + x.notRunAttempts),
	}
	if x.scheduler != "" {
		fields = append(fields, tag.Scheduler(x.scheduler))
	}
	fields = append(fields, x.versionFields()...)
	if x.request.Program != "" {
		fields = append(fields, tag.ForwardedProgram(x.request.Program))
	}
	if x.workspace != nil {
		fields = append(fields, tag.Workspace(x.workspace.Name))
	}
	if x.route != nil {
		fields = append(fields, tag.Target(x.route.Name))
	}
	if !x.request.Finish.IsZero() {
		fields = append(fields, tag.TimeToDeadline(time.Until(x.request.Finish)))
	}
	if x.request.UsesTokenBudget() {
		fields = append(fields, tag.Budget(x.request.Budget), tag.MaxTokens(x.request.MaxTokens))
		if x.service != nil {
			fields = append(fields, tag.Generated(x.events*x.service.TokensPerEvent))
		}
	}
	fields = append(fields, x.responseFields()...)
	fields = append(fields, x.keyFields()...)
	if x.resends > 0 {
		fields = append(fields, tag.Resumes(x.resends))
	}
	if x.failureReason != "" {
		fields = append(fields, tag.Reason(x.failureReason))
	}
	if x.cause != nil {
		fields = append(fields, tag.Error(x.cause))
	}
	x.f.Log.Info("request", fields...)
	if !x.complete {
		panic(http.ErrAbortHandler)
	}
}

// responseFields returns the log fields that say how the last attempt's response
// marks its end and where it ended.
func (x *exchange) responseFields() []zap.Field {
	if x.framing == "" {
		return nil
	}
	fields := []zap.Field{tag.Framing(string(x.framing))}
	if x.events > 0 || x.unfinishedBytes > 0 {
		fields = append(fields, tag.Events(x.events), tag.UnfinishedBytes(x.unfinishedBytes))
	}
	return fields
}

// recordInterruption logs and counts an attempt with the outcome interrupted.
func (x *exchange) recordInterruption(endpoint string, err error) {
	x.f.Metrics.observeInterruption(x.framing)
	fields := []zap.Field{
		tag.Request(x.request.ID), tag.Endpoint(endpoint), tag.Target(x.route.Name), tag.Error(err),
		tag.SoftwareVersion(x.softwareVersion), tag.Fingerprint(x.request.Fingerprint()), tag.EndpointEnded(errors.Is(err, errEndpointLost)),
	}
	x.f.Log.Info("response interrupted", append(fields, x.responseFields()...)...)
}
