package runner

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
)

// timedReport is a load report as of an instant.
type timedReport struct {
	report endpoint.LoadReport
	at     time.Time
}

// enter carries out the faults of an administrative request.
func (e *Engine) enter(w http.ResponseWriter, r *http.Request) bool {
	return e.faults.before(w, r, e.faults.take(r.URL.Path))
}

func (e *Engine) listSessions(w http.ResponseWriter, r *http.Request) {
	if e.enter(w, r) {
		writeJSON(w, http.StatusOK, e.Sessions())
	}
}

func (e *Engine) release(w http.ResponseWriter, r *http.Request) {
	fault := e.faults.take(r.URL.Path)
	if !e.faults.before(w, r, fault) {
		return
	}
	e.Release(entity.ProgramID(r.PathValue("id")))
	if fault.Mode == FaultLost {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) cacheSnapshot(w http.ResponseWriter, r *http.Request) {
	if !e.enter(w, r) {
		return
	}
	e.mu.Lock()
	s := e.cache.snapshot()
	s.Instance = e.instanceName()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, s)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	if !e.enter(w, r) {
		return
	}
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request_error", "from must be a number")
		return
	}
	e.mu.Lock()
	p := e.cache.page(from, time.Now())
	p.Instance = e.instanceName()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, p)
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	if !e.enter(w, r) {
		return
	}
	writeJSON(w, http.StatusOK, e.Load())
}

// Load returns the load report that is visible now: the latest one older than
// the lag. Whether the engine is leaving is never late.
func (e *Engine) Load() endpoint.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.reports = append(e.reports, timedReport{report: e.report(), at: now})
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

// report describes the engine as it is now. The mutex is held.
func (e *Engine) report() endpoint.LoadReport {
	e.settleLoading()
	return endpoint.LoadReport{
		Instance:     e.instanceName(),
		Running:      len(e.running),
		Waiting:      len(e.waiting),
		Slots:        e.options.Slots,
		CacheTokens:  e.options.CacheTokens,
		UsedTokens:   int64(len(e.cache.blocks)) * endpoint.BlockTokens,
		PinnedTokens: e.cache.pinned(),
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
	if !e.enter(w, r) || !readJSON(w, r, &req) {
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
	e.transfer(r, len(req.Blocks))
	writeJSON(w, http.StatusOK, req)
}

// importKV stores the KV cache of a session and holds it for the session.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var kv endpoint.KV
	if !e.enter(w, r) || !readJSON(w, r, &kv) {
		return
	}
	e.transfer(r, len(kv.Blocks))
	e.mu.Lock()
	e.cache.begin(kv.Program)
	e.cache.pin(kv.Program, kv.Model, kv.Blocks)
	e.cache.end(kv.Program, time.Now())
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) transfer(r *http.Request, blocks int) {
	sleep(r, time.Duration(blocks*endpoint.BlockTokens)*e.options.TransferPerToken)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	fault := e.faults.take(r.URL.Path)
	if !e.faults.before(w, r, fault) {
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
	status, reason := e.obey(o, fencing)
	if fault.Mode == FaultLost {
		panic(http.ErrAbortHandler)
	}
	if status >= http.StatusBadRequest {
		writeError(w, status, "order_refused", reason)
		return
	}
	w.WriteHeader(status)
}

// obey carries an order out and returns the status and, on refusal, a reason.
func (e *Engine) obey(o endpoint.Order, fencing uint64) (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := fencing < e.fencing
	if stale && e.options.ChecksFencing {
		e.counters.Fenced++
		return http.StatusConflict, "fencing number is too old"
	}
	e.fencing = max(e.fencing, fencing)
	e.settleLoading()
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

// startLoading unloads a name and loads another, which takes the load time
// unless it is loaded already.
func (e *Engine) startLoading(name string, list *[]string, evict string) {
	*list = slices.DeleteFunc(*list, func(n string) bool { return n == evict })
	if slices.Contains(*list, name) {
		return
	}
	e.loading = name
	e.loadingInto = list
	e.loadedAt = time.Now().Add(e.options.LoadTime)
	e.settleLoading()
}

// settleLoading ends a load whose time is over.
func (e *Engine) settleLoading() {
	if e.loading == "" || time.Now().Before(e.loadedAt) {
		return
	}
	*e.loadingInto = append(*e.loadingInto, e.loading)
	e.loading = ""
}
