package directory

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/timeline"
)

type fakeVMList struct{ vms []platform.ListedVM }

func (l *fakeVMList) List(context.Context) ([]platform.ListedVM, error) { return l.vms, nil }

func runnerVM(name string, leaving bool) platform.ListedVM {
	return platform.ListedVM{ID: "vm-" + name, Role: platform.RoleRunner, Runner: name, Kind: "engine", Leaving: leaving}
}

func TestDirectory_LeavingEndpointStaysLeavingWhileTheListLags(t *testing.T) {
	is := is.New(t)
	list := &fakeVMList{vms: []platform.ListedVM{runnerVM("e1", false), runnerVM("e2", false)}}
	d := New([]entity.Endpoint{{Name: "t1", Kind: entity.KindTool}}, list, timeline.Discard{})
	is.NoErr(d.Refresh(context.Background()))
	is.Equal(len(d.Endpoints()), 3)

	d.MarkLeaving("e1")
	is.NoErr(d.Refresh(context.Background())) // the list does not show e1 as leaving yet
	e1, ok := d.Find("e1")
	is.True(ok)
	is.True(e1.Leaving)
	e2, _ := d.Find("e2")
	is.True(!e2.Leaving)
}

func TestDirectory_NewEndpointOfTheSameNameIsNotLeaving(t *testing.T) {
	is := is.New(t)
	list := &fakeVMList{vms: []platform.ListedVM{runnerVM("e1", false)}}
	d := New(nil, list, timeline.Discard{})
	is.NoErr(d.Refresh(context.Background()))
	d.MarkLeaving("e1")
	list.vms = nil
	is.NoErr(d.Refresh(context.Background()))
	list.vms = []platform.ListedVM{runnerVM("e1", false)}
	is.NoErr(d.Refresh(context.Background()))
	e1, ok := d.Find("e1")
	is.True(ok)
	is.True(!e1.Leaving)
}

// recordedEvents is a timeline.Recorder that stores the events.
type recordedEvents struct{ list []timeline.Event }

func (e *recordedEvents) Record(v timeline.Event) { e.list = append(e.list, v) }

func TestDirectory_LeavingIsRecordedOnce(t *testing.T) {
	cases := []struct {
		name   string
		report func(d *Directory, list *fakeVMList)
	}{
		{"reported by the VM list", func(_ *Directory, list *fakeVMList) { list.vms = []platform.ListedVM{runnerVM("e1", true)} }},
		{"reported by the runner", func(d *Directory, _ *fakeVMList) { d.ApplyReport("e1", []string{"m"}, true) }},
		{"reported by another source", func(d *Directory, _ *fakeVMList) { d.MarkLeaving("e1") }},
		{"reported by all sources", func(d *Directory, list *fakeVMList) {
			list.vms = []platform.ListedVM{runnerVM("e1", true)}
			d.ApplyReport("e1", []string{"m"}, true)
			d.MarkLeaving("e1")
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			list := &fakeVMList{vms: []platform.ListedVM{runnerVM("e1", false)}}
			recorded := &recordedEvents{}
			d := New(nil, list, recorded)
			is.NoErr(d.Refresh(t.Context()))
			is.Equal(len(recorded.list), 0)
			c.report(d, list)
			for range 3 {
				is.NoErr(d.Refresh(t.Context()))
			}
			e1, _ := d.Find("e1")
			is.True(e1.Leaving)
			is.Equal(recorded.list, []timeline.Event{{Kind: timeline.EndpointLeaving, Endpoint: "e1"}})
		})
	}
}

func TestDirectory_ReportOfAnEngineTakesPrecedenceOverTheList(t *testing.T) {
	is := is.New(t)
	list := &fakeVMList{vms: []platform.ListedVM{runnerVM("e1", false)}}
	list.vms[0].Models = []string{"old"}
	d := New(nil, list, timeline.Discard{})
	is.NoErr(d.Refresh(t.Context()))
	d.ApplyReport("e1", []string{"new"}, true)
	d.ApplyReport("unknown", []string{"new"}, true)
	is.NoErr(d.Refresh(t.Context()))
	e1, _ := d.Find("e1")
	is.Equal(e1.Models, []string{"new"})
	is.True(e1.Leaving)
	d.ApplyReport("e1", []string{"new"}, false) // no longer leaving
	e1, _ = d.Find("e1")
	is.True(!e1.Leaving)
	is.Equal(len(d.Endpoints()), 1)
}

func TestDirectory_ChangedClosesOnlyIfTheListDiffers(t *testing.T) {
	is := is.New(t)
	list := &fakeVMList{vms: []platform.ListedVM{runnerVM("e1", false), runnerVM("e2", false)}}
	d := New(nil, list, timeline.Discard{})
	is.NoErr(d.Refresh(context.Background()))
	changed := d.Changed()
	is.NoErr(d.Refresh(context.Background()))
	is.Equal(d.Changed(), changed)
	list.vms = []platform.ListedVM{runnerVM("e1", false), runnerVM("e2", true)}
	is.NoErr(d.Refresh(context.Background()))
	is.True(d.Changed() != changed)
	e2, ok := d.Find("e2")
	is.True(ok && e2.Leaving)
}
