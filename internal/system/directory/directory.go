// Package directory knows the endpoints: the static ones of the settings and
// those of the VM list. The list lags, so that a sign of leaving from any
// other source counts at once and stays until the list shows the endpoint
// gone.
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

// Directory holds the known endpoints. It is safe for concurrent use.
type Directory struct {
	list     platform.VMList
	recorder timeline.Recorder
	static   []entity.Endpoint

	mu       sync.Mutex
	listed   []entity.Endpoint   // from the VM list
	leaving  map[string]struct{} // names with a sign of leaving
	reported map[string]report   // what runners say of themselves, by name
	snapshot []entity.Endpoint   // never changed once published
	byName   map[string]int      // first index into snapshot; never changed once published
	changed  chan struct{}       // closed and replaced at each change
}

// report is what a runner says of itself.
type report struct {
	models  []string
	leaving bool
}

// New makes a Directory of the static endpoints; list may be nil.
func New(static []entity.Endpoint, list platform.VMList, recorder timeline.Recorder) *Directory {
	d := &Directory{
		list:     list,
		recorder: recorder,
		static:   static,
		leaving:  make(map[string]struct{}),
		reported: make(map[string]report),
		changed:  make(chan struct{}),
	}
	d.publish()
	return d
}

// Endpoints returns all endpoints, leaving ones included. The caller must not
// change them.
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

// Find returns an endpoint by name.
func (d *Directory) Find(name string) (entity.Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i, ok := d.byName[name]
	if !ok {
		return entity.Endpoint{}, false
	}
	return d.snapshot[i], true
}

// MarkLeaving takes in a sign that an endpoint is leaving.
func (d *Directory) MarkLeaving(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.leaving[name]; known {
		return
	}
	d.leaving[name] = struct{}{}
	d.publish()
}

// ApplyReport takes in what a runner says of itself: the models that it has
// loaded, which win over those of the list, and whether it is leaving. Its
// next report may take the leaving back.
func (d *Directory) ApplyReport(name string, models []string, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before, known := d.reported[name]
	if known && before.leaving == leaving && slices.Equal(before.models, models) {
		return
	}
	if !contains(d.listed, name) && !contains(d.static, name) {
		return // it has gone from the list meanwhile
	}
	d.reported[name] = report{models: slices.Clone(models), leaving: leaving}
	d.publish()
}

// Refresh reads the VM list. An unreachable list changes nothing, nor does one
// that is the same as before.
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
			listed = append(listed, endpointOf(&vms[i]))
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	same := reflect.DeepEqual(d.listed, listed)
	d.listed = listed
	d.forgetGone()
	if !same {
		d.publish()
	}
	return nil
}

func endpointOf(vm *platform.ListedVM) entity.Endpoint {
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

// forgetGone drops the signs for endpoints that are not known any more, so
// that a new one of the same name starts afresh. The caller holds mu.
func (d *Directory) forgetGone() {
	for name := range d.leaving {
		if !contains(d.listed, name) && !contains(d.static, name) {
			delete(d.leaving, name)
		}
	}
	for name := range d.reported {
		if !contains(d.listed, name) && !contains(d.static, name) {
			delete(d.reported, name)
		}
	}
}

func contains(list []entity.Endpoint, name string) bool {
	for i := range list {
		if list[i].Name == name {
			return true
		}
	}
	return false
}

// publish makes a new snapshot. The VM list wins over a static endpoint of the
// same name. The caller holds mu.
func (d *Directory) publish() {
	var out []entity.Endpoint
	for _, ep := range d.static {
		if !contains(d.listed, ep.Name) {
			out = append(out, ep)
		}
	}
	out = append(out, d.listed...)
	for i := range out {
		d.amend(&out[i])
	}
	for i := range out {
		if out[i].Leaving && !d.showsLeaving(out[i].Name) {
			d.recorder.Record(timeline.Event{Kind: timeline.EndpointLeaving, Endpoint: out[i].Name})
		}
	}
	d.snapshot = out
	d.byName = indexOf(out)
	close(d.changed)
	d.changed = make(chan struct{})
}

// amend adds to an endpoint what is known of it beside the list. The caller
// holds mu.
func (d *Directory) amend(ep *entity.Endpoint) {
	if _, leaving := d.leaving[ep.Name]; leaving {
		ep.Leaving = true
	}
	r, known := d.reported[ep.Name]
	if !known {
		return
	}
	ep.Leaving = ep.Leaving || r.leaving
	if ep.Kind == entity.KindEngine {
		ep.Models = r.models
	}
}

// showsLeaving reports whether the snapshot shows an endpoint as leaving. The
// caller holds mu.
func (d *Directory) showsLeaving(name string) bool {
	i, ok := d.byName[name]
	return ok && d.snapshot[i].Leaving
}

// indexOf returns the first place of each name.
func indexOf(list []entity.Endpoint) map[string]int {
	index := make(map[string]int, len(list))
	for i := range list {
		if _, known := index[list[i].Name]; !known {
			index[list[i].Name] = i
		}
	}
	return index
}
