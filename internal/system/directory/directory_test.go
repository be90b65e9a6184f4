package directory

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/timeline"
)

type fixedList struct{ vms []platform.ListedVM }

func (l *fixedList) List(context.Context) ([]platform.ListedVM, error) { return l.vms, nil }

func runnerVM(name string, leaving bool) platform.ListedVM {
	return platform.ListedVM{ID: "vm-" + name, Role: platform.RoleRunner, Runner: name, Kind: "engine", Leaving: leaving}
}

func TestDirectory_LeavingSignOutlivesALaggingList(t *testing.T) {
	is := is.New(t)
	list := &fixedList{vms: []platform.ListedVM{runnerVM("e1", false), runnerVM("e2", false)}}
	d := New([]entity.Endpoint{{Name: "t1", Kind: entity.KindTool}}, list, timeline.Discard{})
	is.NoErr(d.Refresh(context.Background()))
	is.Equal(len(d.Endpoints()), 3)

	d.MarkLeaving("e1")
	is.NoErr(d.Refresh(context.Background())) // the list still shows e1 as live
	e1, ok := d.Find("e1")
	is.True(ok)
	is.True(e1.Leaving)
	e2, _ := d.Find("e2")
	is.True(!e2.Leaving)
}

func TestDirectory_EndpointThatCameBackUnderItsNameIsNotLeaving(t *testing.T) {
	is := is.New(t)
	list := &fixedList{vms: []platform.ListedVM{runnerVM("e1", false)}}
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

// events keeps the events that it is given.
type events struct{ list []timeline.Event }

func (e *events) Record(v timeline.Event) { e.list = append(e.list, v) }

func TestDirectory_EachSignOfLeavingIsRecordedOnce(t *testing.T) {
	cases := []struct {
		name string
		sign func(d *Directory, list *fixedList)
	}{
		{"the list shows it", func(_ *Directory, list *fixedList) { list.vms = []platform.ListedVM{runnerVM("e1", true)} }},
		{"the runner says it", func(d *Directory, _ *fixedList) { d.ApplyReport("e1", []string{"m"}, true) }},
		{"another source says it", func(d *Directory, _ *fixedList) { d.MarkLeaving("e1") }},
		{"all say it", func(d *Directory, list *fixedList) {
			list.vms = []platform.ListedVM{runnerVM("e1", true)}
			d.ApplyReport("e1", []string{"m"}, true)
			d.MarkLeaving("e1")
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			list := &fixedList{vms: []platform.ListedVM{runnerVM("e1", false)}}
			recorded := &events{}
			d := New(nil, list, recorded)
			is.NoErr(d.Refresh(t.Context()))
			is.Equal(len(recorded.list), 0)
			c.sign(d, list)
			for range 3 {
				is.NoErr(d.Refresh(t.Context()))
			}
			e1, _ := d.Find("e1")
			is.True(e1.Leaving)
			is.Equal(recorded.list, []timeline.Event{{Kind: timeline.EndpointLeaving, Endpoint: "e1"}})
		})
	}
}

func TestDirectory_ReportOfAnEngineWinsOverTheList(t *testing.T) {
	is := is.New(t)
	list := &fixedList{vms: []platform.ListedVM{runnerVM("e1", false)}}
	list.vms[0].Models = []string{"old"}
	d := New(nil, list, timeline.Discard{})
	is.NoErr(d.Refresh(t.Context()))
	d.ApplyReport("e1", []string{"new"}, true)
	d.ApplyReport("unknown", []string{"new"}, true)
	is.NoErr(d.Refresh(t.Context()))
	e1, _ := d.Find("e1")
	is.Equal(e1.Models, []string{"new"})
	is.True(e1.Leaving)
	d.ApplyReport("e1", []string{"new"}, false) // it stays after all
	e1, _ = d.Find("e1")
	is.True(!e1.Leaving)
	is.Equal(len(d.Endpoints()), 1)
}

func TestDirectory_ChangedClosesOnlyIfTheListDiffers(t *testing.T) {
	is := is.New(t)
	list := &fixedList{vms: []platform.ListedVM{runnerVM("e1", false), runnerVM("e2", false)}}
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
