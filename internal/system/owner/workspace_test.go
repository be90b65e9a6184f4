package owner

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
)

func TestOwner_ProgramOfAnotherWorkspaceIsReportedAsNeverCreated(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	a := f.startOwner("a")
	budget := entity.Budget{Tokens: 1000, Turns: 10, Seconds: 3600}
	f.create(a, budget)
	ctx := context.Background()
	foreign := ProgramArgs{ID: testProgram, Workspace: "weddings"}
	absent := ProgramArgs{ID: "amman-a.0002", Workspace: "weddings"}
	_, want := a.Show(ctx, absent)
	is.True(mesh.HasCode(want, mesh.CodeNotFound))

	requests := map[string]func() (ProgramReply, error){
		"show":   func() (ProgramReply, error) { return a.Show(ctx, foreign) },
		"cancel": func() (ProgramReply, error) { return a.Cancel(ctx, foreign) },
		"create with its id": func() (ProgramReply, error) {
			return a.Create(ctx, CreateArgs{ID: testProgram, Workspace: "weddings", Budget: budget})
		},
		"create with its id and another budget": func() (ProgramReply, error) {
			return a.Create(ctx, CreateArgs{ID: testProgram, Workspace: "weddings", Budget: entity.Budget{Tokens: 1, Turns: 1, Seconds: 1}})
		},
		"create a sub-agent": func() (ProgramReply, error) {
			return a.Create(ctx, CreateArgs{Parent: testProgram, Workspace: "weddings", RequestID: "r"})
		},
	}
	for name, send := range requests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reply, err := send()
			is.Equal(mesh.AsFault(err), mesh.AsFault(want))
			is.Equal(reply, ProgramReply{})
		})
	}
	reply, err := a.Show(ctx, ProgramArgs{ID: testProgram, Workspace: "press"})
	is.NoErr(err)
	is.Equal(reply.Program.State, entity.ProgramActive)
}
