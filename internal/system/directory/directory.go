// Package directory keeps the list of endpoints: the static ones of the settings
// and those of the VM list. Because the VM list lags, it also applies the reports
// of other sources. An endpoint that one of them reports as leaving counts as
// leaving even if the VM list does not show that yet.
package directory

import (
	"context"
	"reflect"
	"slices"
	"sync"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/timeline"
)

// Directory is the list of endpoints. It is safe for concurrent use.
type Directory struct {
	list     platform.VMList
	recorder timeline.Recorder
	static   []entity.Endpoint

	mu       sync.Mutex
	listed   []entity.Endpoint       // from the VM list
	leaving  map[string]struct{}     // names passed to MarkLeaving
	reports  map[string]runnerReport // last report of each runner, by name
	snapshot []entity.Endpoint       // immutable once published
	byName   map[string]int          // first index into snapshot; immutable once published
	changed  chan struct{}           // closed and replaced at each change
}

// runnerReport is a runner's report about itself.
type runnerReport struct {
	models  []string
	leaving bool
}

// New returns a Directory that contains the static endpoints; list may be nil.
func New(static []entity.Endpoint, list platform.VMList, recorder timeline.Recorder) *Directory {
	d := &Directory{
		list:     list,
		recorder: recorder,
		static:   static,
		leaving:  make(map[string]struct{}),
		reports:  make(map[string]runnerReport),
		changed:  make(chan struct{}),
	}
	d.publish()
	return d
}

// Endpoints returns all endpoints, including leaving ones. The caller must not
// modify them.
func (d *Directory) Endpoints() []entity.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.snapshot
}

// Changed returns a channel that closes at the next change.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Find returns the first endpoint with a name, and false if there is none.
func (d *Directory) Find(name string) (entity.Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i, ok := d.byName[name]
	if !ok {
		return entity.Endpoint{}, false
	}
	return d.snapshot[i], true
}

// MarkLeaving marks an endpoint as leaving until neither the VM list nor the
// static endpoints contain it.
func (d *Directory) MarkLeaving(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.leaving[name]; known {
		return
	}
	d.leaving[name] = struct{}{}
	d.publish()
}

// ApplyReport applies a runner's report about itself: the models that it has
// loaded and whether it is leaving. The report replaces the runner's previous one,
// so a runner may be reported as no longer leaving. The models of an engine take
// precedence over those of the VM list. A report of an unknown runner is ignored.
func (d *Directory) ApplyReport(name string, models []string, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous, known := d.reports[name]
	if known && previous.leaving == leaving && slices.Equal(previous.models, models) {
		return
	}
	if !containsName(d.listed, name) && !containsName(d.static, name) {
		return // the endpoint has been removed in the meantime
	}
	d.reports[name] = runnerReport{models: slices.Clone(models), leaving: leaving}
	d.publish()
}

// Refresh reads the VM list. If that fails or the list is unchanged, the
// endpoints stay as they are.
func (d *Directory) Refresh(ctx context.Context) error {
	if d.list == nil {
		return nil
	}
	vms, err := d.list.List(ctx)
	if err != nil {
		return err
	}
	listed := make([]entity.Endpoint, 0, len(vms))
	for i := range vms {
		if vms[i].Role == platform.RoleRunner && vms[i].Runner != "" {
			listed = append(listed, endpointFromVM(&vms[i]))
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	same := reflect.DeepEqual(d.listed, listed)
	d.listed = listed
	d.dropRemoved()
	if !same {
		d.publish()
	}
	return nil
}

// endpointFromVM returns the endpoint that an entry of the VM list describes.
func endpointFromVM(vm *platform.ListedVM) entity.Endpoint {
	return entity.Endpoint{
		Name:          vm.Runner,
		Kind:          entity.EndpointKind(vm.Kind),
		Target:        vm.Target,
		Models:        vm.Models,
		DC:            vm.DC,
		URL:           vm.URL,
		Leaving:       vm.Leaving,
		ChecksFencing: vm.ChecksFencing,
	}
}

// dropRemoved deletes the leaving marks and reports of endpoints that were
// removed, so that they don't apply to a new endpoint of the same name. The
// caller holds mu.
func (d *Directory) dropRemoved() {
	for name := range d.leaving {
		if !containsName(d.listed, name) && !containsName(d.static, name) {
			delete(d.leaving, name)
		}
	}
	for name := range d.reports {
		if !containsName(d.listed, name) && !containsName(d.static, name) {
			delete(d.reports, name)
		}
	}
}

func containsName(list []entity.Endpoint, name string) bool {
	for i := range list {
		if list[i].Name == name {
			return true
		}
	}
	return false
}

// publish builds a new snapshot, signals the change and records an event for each
// endpoint that has started to leave. An endpoint of the VM list takes precedence
// over a static one of the same name. The caller holds mu.
func (d *Directory) publish() {
	var out []entity.Endpoint
	for _, ep := range d.static {
		if !containsName(d.listed, ep.Name) {
			out = append(out, ep)
		}
	}
	out = append(out, d.listed...)
	for i := range out {
		d.applyReports(&out[i])
	}
	for i := range out {
		if out[i].Leaving && !d.isLeaving(out[i].Name) {
			d.recorder.Record(timeline.Event{Kind: timeline.EndpointLeaving, Endpoint: out[i].Name})
		}
	}
	d.snapshot = out
	d.byName = indexOf(out)
	close(d.changed)
	d.changed = make(chan struct{})
}

// applyReports updates an endpoint with the reports of sources other than the VM
// list. The caller holds mu.
func (d *Directory) applyReports(ep *entity.Endpoint) {
	if _, leaving := d.leaving[ep.Name]; leaving {
		ep.Leaving = true
	}
	r, known := d.reports[ep.Name]
	if !known {
		return
	}
	ep.Leaving = ep.Leaving || r.leaving
	if ep.Kind == entity.KindEngine {
		ep.Models = r.models
	}
}

// isLeaving reports whether an endpoint is leaving in the current snapshot. The
// caller holds mu.
func (d *Directory) isLeaving(name string) bool {
	i, ok := d.byName[name]
	return ok && d.snapshot[i].Leaving
}

// indexOf returns the first index of each name.
func indexOf(list []entity.Endpoint) map[string]int {
	index := make(map[string]int, len(list))
	for i := range list {
		if _, known := index[list[i].Name]; !known {
			index[list[i].Name] = i
		}
	}
	return index
}
