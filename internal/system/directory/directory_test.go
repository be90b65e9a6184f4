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
	is.NoErr(d.Tick(context.Background()))
	is.Equal(len(d.Endpoints()), 3)

	d.Leaving("e1")
	is.NoErr(d.Tick(context.Background())) // the list still shows e1 as live
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
	is.NoErr(d.Tick(context.Background()))
	d.Leaving("e1")
	list.vms = nil
	is.NoErr(d.Tick(context.Background()))
	list.vms = []platform.ListedVM{runnerVM("e1", false)}
	is.NoErr(d.Tick(context.Background()))
	e1, ok := d.Find("e1")
	is.True(ok)
	is.True(!e1.Leaving)
}
