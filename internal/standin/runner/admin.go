package runner

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
)

// timedLoadReport is a load report and the time that it describes.
type timedLoadReport struct {
	report endpoint.LoadReport
	at     time.Time
}

// applyFaults applies the faults that match an administrative request. It reports
// whether to handle the request.
func (e *Engine) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	return e.faults.applyBeforeRun(w, r, e.faults.consume(r.URL.Path))
}

func (e *Engine) listSessions(w http.ResponseWriter, r *http.Request) {
	if e.applyFaults(w, r) {
		writeJSON(w, http.StatusOK, e.Sessions())
	}
}

func (e *Engine) release(w http.ResponseWriter, r *http.Request) {
	fault := e.faults.consume(r.URL.Path)
	if !e.faults.applyBeforeRun(w, r, fault) {
		return
	}
	e.Release(entity.ProgramID(r.PathValue("id")))
	if fault.Mode == FaultLost {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) cacheSnapshot(w http.ResponseWriter, r *http.Request) {
	if !e.applyFaults(w, r) {
		return
	}
	e.mu.Lock()
	s := e.cache.snapshot()
	s.Instance = e.instanceName()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, s)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	if !e.applyFaults(w, r) {
		return
	}
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request_error", "from must be a number")
		return
	}
	e.mu.Lock()
	p := e.cache.eventsFrom(from, time.Now())
	p.Instance = e.instanceName()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, p)
}

func (e *Engine) loadReport(w http.ResponseWriter, r *http.Request) {
	if !e.applyFaults(w, r) {
		return
	}
	writeJSON(w, http.StatusOK, e.Load())
}

// Load returns the load report that is visible now: the latest one that is at
// least LoadLag old. Leaving is always current.
func (e *Engine) Load() endpoint.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.reports = append(e.reports, timedLoadReport{report: e.currentLoad(), at: now})
	visible := 0
	for i, r := range e.reports {
		if now.Sub(r.at) >= e.options.LoadLag {
			visible = i
		}
	}
	e.reports = slices.Delete(e.reports, 0, visible)
	out := e.reports[0].report
	out.Leaving = e.leaving
	return out
}

// currentLoad returns the engine's current load. The caller holds the mutex.
func (e *Engine) currentLoad() endpoint.LoadReport {
	e.finishLoading()
	return endpoint.LoadReport{
		Instance:     e.instanceName(),
		Running:      len(e.running),
		Waiting:      len(e.waiting),
		Slots:        e.options.Slots,
		CacheTokens:  e.options.CacheTokens,
		UsedTokens:   int64(len(e.cache.blocks)) * endpoint.BlockTokens,
		PinnedTokens: e.cache.pinnedTokens(),
		Models:       slices.Clone(e.models),
		Adapters:     slices.Clone(e.adapters),
		Version:      e.version,
		Role:         e.role,
		Loading:      e.loading,
		Leaving:      e.leaving,
	}
}

// export returns the KV cache of a session.
func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	var req endpoint.KV
	if !e.applyFaults(w, r) || !readJSON(w, r, &req) {
		return
	}
	e.mu.Lock()
	s := e.cache.sessions[req.Program]
	if s != nil {
		req.Model = s.model
		req.Blocks = slices.Clone(s.blocks)
	}
	e.mu.Unlock()
	if s == nil {
		writeError(w, http.StatusNotFound, "session_not_found", "no such session")
		return
	}
	e.simulateTransfer(r, len(req.Blocks))
	writeJSON(w, http.StatusOK, req)
}

// importKV caches the KV blocks of a session and pins them for it.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var kv endpoint.KV
	if !e.applyFaults(w, r) || !readJSON(w, r, &kv) {
		return
	}
	e.simulateTransfer(r, len(kv.Blocks))
	e.mu.Lock()
	e.cache.beginCall(kv.Program)
	e.cache.pin(kv.Program, kv.Model, kv.Blocks)
	e.cache.endCall(kv.Program, time.Now())
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) simulateTransfer(r *http.Request, blocks int) {
	sleep(r, time.Duration(blocks*endpoint.BlockTokens)*e.options.TransferPerToken)
}

func (e *Engine) acceptOrder(w http.ResponseWriter, r *http.Request) {
	fault := e.faults.consume(r.URL.Path)
	if !e.faults.applyBeforeRun(w, r, fault) {
		return
	}
	var o endpoint.Order
	if !readJSON(w, r, &o) {
		return
	}
	fencing, err := strconv.ParseUint(r.Header.Get(endpoint.HeaderFencing), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request_error", "a fencing number is needed")
		return
	}
	status, reason := e.executeOrder(o, fencing)
	if fault.Mode == FaultLost {
		panic(http.ErrAbortHandler)
	}
	if status >= http.StatusBadRequest {
		writeError(w, status, "order_refused", reason)
		return
	}
	w.WriteHeader(status)
}

// executeOrder executes an order and returns the HTTP status and, if it is
// refused, the reason.
func (e *Engine) executeOrder(o endpoint.Order, fencing uint64) (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := fencing < e.fencing
	if stale && e.options.ChecksFencing {
		e.counters.Fenced++
		return http.StatusConflict, "fencing number is too old"
	}
	e.fencing = max(e.fencing, fencing)
	e.finishLoading()
	switch o.Kind {
	case endpoint.OrderLoadModel:
		e.startLoading(o.Name, &e.models, o.Evict)
	case endpoint.OrderLoadAdapter:
		e.startLoading(o.Name, &e.adapters, o.Evict)
	case endpoint.OrderLoadVersion:
		e.version = o.Name
	case endpoint.OrderSetRole:
		e.role = o.Name
	default:
		return http.StatusBadRequest, "unknown order"
	}
	e.orders = append(e.orders, AcceptedOrder{Order: o, Fencing: fencing, Stale: stale})
	return http.StatusAccepted, ""
}

// startLoading removes evict from a list of models or adapters and starts to
// load name, which takes LoadTime unless it is loaded already.
func (e *Engine) startLoading(name string, list *[]string, evict string) {
	*list = slices.DeleteFunc(*list, func(n string) bool { return n == evict })
	if slices.Contains(*list, name) {
		return
	}
	e.loading = name
	e.loadingTarget = list
	e.loadingEnds = time.Now().Add(e.options.LoadTime)
	e.finishLoading()
}

// finishLoading completes a load whose LoadTime has passed.
func (e *Engine) finishLoading() {
	if e.loading == "" || time.Now().Before(e.loadingEnds) {
		return
	}
	*e.loadingTarget = append(*e.loadingTarget, e.loading)
	e.loading = ""
}
