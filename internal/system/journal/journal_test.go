package journal

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/platform/batch"
	"ibisstall.example/ibisstall/internal/standin/platformsvc"
)

const testRoot = entity.ProgramID("amman-a.r1")

// testEnv is a platform with a mirror, shared by the VMs of a test.
type testEnv struct {
	server *platformsvc.Server
	mirror *MirrorStore
}

func newTestEnv() *testEnv {
	return &testEnv{server: platformsvc.NewServer(platformsvc.NewStore()), mirror: NewMirrorStore(10_000)}
}

// journal returns the journal of a VM. The VM's name is used as the data centre
// that faults refer to. If batched, the journal writes through a batch.Committer.
func (env *testEnv) journal(t *testing.T, vm string, batched bool, change ...func(*Options)) *Journal {
	t.Helper()
	direct := env.server.Client(vm)
	o := Options{Table: direct, Objects: direct.Objects(), Mirror: env.mirror}
	if batched {
		committer := batch.New(direct, batch.Options{})
		t.Cleanup(committer.Close)
		o.Table = committer
	}
	for _, c := range change {
		c(&o)
	}
	j := New(o)
	t.Cleanup(j.Close)
	return j
}

// setFaults sets the faults of the platform, of the table service by default.
func (env *testEnv) setFaults(t *testing.T, faults ...platformsvc.Fault) {
	t.Helper()
	for i := range faults {
		if faults[i].Service == "" {
			faults[i].Service = platformsvc.Table
		}
	}
	if err := env.server.SetControl(platformsvc.Control{Faults: faults}); err != nil {
		t.Fatal(err)
	}
}

func newProgram(id entity.ProgramID) *entity.Program {
	p := &entity.Program{ID: id, Workspace: "couples", State: entity.ProgramActive}
	if id.IsRoot() {
		p.Budget = entity.Budget{Tokens: 1000, Turns: 1000, Seconds: 1000}
	}
	return p
}

func newTurn(id entity.ProgramID, n uint64) *entity.Turn {
	return &entity.Turn{Program: id, Number: n, RequestID: fmt.Sprintf("r%d", n), Kind: entity.CallModel, Outcome: entity.OutcomeDone}
}

func turnChange(id entity.ProgramID, n uint64) Changes {
	return Changes{Turns: []*entity.Turn{newTurn(id, n)}}
}

// turnNumbers returns the numbers of the turns in a program's history.
func turnNumbers(t *testing.T, j *Journal, id entity.ProgramID) []uint64 {
	t.Helper()
	turns, err := j.History(context.Background(), id, 1)
	if err != nil {
		t.Fatal(err)
	}
	ns := []uint64{}
	for _, turn := range turns {
		ns = append(ns, turn.Number)
	}
	return ns
}

func ExampleJournal() {
	ctx := context.Background()
	service := platformsvc.NewServer(platformsvc.NewStore()).Client("amman-a")
	committer := batch.New(service, batch.Options{})
	defer committer.Close()
	j := New(Options{Table: committer, Objects: service.Objects()})
	defer j.Close()

	program := newProgram("amman-a.r1")
	durability, err := j.Create(ctx, program, "vm-1")
	fmt.Println(durability == Durable, err)

	// A call that must not be repeated: intent, then the call, then its turn
	// with the outcome.
	intent := &entity.Intent{Program: program.ID, RequestID: "deposit-1", AttemptID: "a1"}
	fmt.Println(j.WriteIntent(ctx, intent))
	intent.State = entity.IntentDone
	intent.Turn = 1
	turn := &entity.Turn{Program: program.ID, Number: 1, RequestID: "deposit-1", Kind: entity.CallTool}
	program.Used.Turns = 1
	durability, err = j.Append(ctx, program.ID, Changes{
		Programs: []*entity.Program{program},
		Turns:    []*entity.Turn{turn},
		Outcomes: []*entity.Intent{intent},
	})
	fmt.Println(durability == Durable, err)

	history, err := j.History(ctx, program.ID, 1)
	fmt.Println(len(history), err)
	// Output:
	// true <nil>
	// <nil>
	// true <nil>
	// 1 <nil>
}

func TestJournal_AppendChecksTheOrder(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	j := newTestEnv().journal(t, "vm-1", true)
	root := newProgram(testRoot)
	_, err := j.Create(ctx, root, "vm-1")
	is.NoErr(err)

	_, err = j.Append(ctx, testRoot, turnChange(testRoot, 2))
	is.True(errors.Is(err, ErrOutOfOrder))
	child := newProgram(testRoot + ".c1")
	_, err = j.Append(ctx, testRoot, Changes{Programs: []*entity.Program{child}})
	is.True(errors.Is(err, ErrInvalid)) // the root program does not count the sub-agent
	_, err = j.Append(ctx, testRoot, turnChange(child.ID, 1))
	is.True(errors.Is(err, ErrNotFound))
	_, err = j.Append(ctx, "amman-a.other", turnChange("amman-a.other", 1))
	is.True(errors.Is(err, ErrOwnershipLost))

	root.Children = 1
	_, err = j.Append(ctx, testRoot, Changes{Programs: []*entity.Program{root, child}, Turns: []*entity.Turn{newTurn(child.ID, 1)}})
	is.NoErr(err)
	family, err := j.LoadFamily(ctx, testRoot)
	is.NoErr(err)
	is.Equal(family.Programs[child.ID].Program.Head, uint64(1))
	is.Equal(family.RootProgram().Owner, "vm-1")
	is.Equal(family.RootProgram().Records, uint64(2))
}

func TestJournal_IntentIsUniqueAndFenced(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	env := newTestEnv()
	j := env.journal(t, "vm-1", true)
	_, err := j.Create(ctx, newProgram(testRoot), "vm-1")
	is.NoErr(err)
	intent := &entity.Intent{Program: testRoot, RequestID: "charge", AttemptID: "a1"}
	is.NoErr(j.WriteIntent(ctx, intent))
	is.True(errors.Is(j.WriteIntent(ctx, intent), ErrIntentExists))
	is.True(j.Owns(testRoot)) // a repeated intent does not end the ownership
	stored, err := j.LookupIntent(ctx, testRoot, "charge")
	is.NoErr(err)
	is.Equal(stored.State, entity.IntentWritten)
	is.Equal(stored.Epoch, uint64(1))
	_, err = j.LookupIntent(ctx, testRoot, "other")
	is.True(errors.Is(err, ErrNotFound))

	next := env.journal(t, "vm-2", true)
	is.NoErr(next.Adopt(ctx, []entity.ProgramID{testRoot}, "vm-2")[0].Err)
	err = j.WriteIntent(ctx, &entity.Intent{Program: testRoot, RequestID: "late", AttemptID: "a2"})
	is.True(errors.Is(err, ErrOwnershipLost)) // a former owner that resumes after a pause must not send
	stored.State = entity.IntentUnknown
	_, err = next.RecordOutcome(ctx, stored)
	is.NoErr(err)
	stored, err = next.LookupIntent(ctx, testRoot, "charge")
	is.NoErr(err)
	is.Equal(stored.State, entity.IntentUnknown)
}

// commitHookTable calls a function in place of each commit. The function can make
// the commit by calling next.
type commitHookTable struct {
	platform.Table
	commit func(next func() error) error
}

func (h *commitHookTable) Commit(ctx context.Context, writes []platform.Write) error {
	return h.commit(func() error { return h.Table.Commit(ctx, writes) })
}

func TestJournal_LostResponsesAtEachStep(t *testing.T) {
	steps := []struct {
		name string
		run  func(ctx context.Context, j *Journal) error
	}{
		{"create", func(ctx context.Context, j *Journal) error {
			_, err := j.Create(ctx, newProgram("amman-a.r2"), "vm-1")
			return err
		}},
		{"append", func(ctx context.Context, j *Journal) error {
			d, err := j.Append(ctx, testRoot, turnChange(testRoot, 101))
			if err == nil && d != Durable {
				return fmt.Errorf("durability %d", d)
			}
			return err
		}},
		{"intent", func(ctx context.Context, j *Journal) error {
			return j.WriteIntent(ctx, &entity.Intent{Program: testRoot, RequestID: "x", AttemptID: "a1"})
		}},
		{"outcome", func(ctx context.Context, j *Journal) error {
			_, err := j.RecordOutcome(ctx, &entity.Intent{Program: testRoot, RequestID: "old", State: entity.IntentDone})
			return err
		}},
		{"compaction", func(ctx context.Context, j *Journal) error {
			n, err := j.Compact(ctx, testRoot)
			if err == nil && n != 100-RetainedRows {
				return fmt.Errorf("%d rows moved", n)
			}
			return err
		}},
		{"adoption", func(ctx context.Context, j *Journal) error {
			j.DropFamily(testRoot)
			return j.Adopt(ctx, []entity.ProgramID{testRoot}, "vm-1")[0].Err
		}},
	}
	for _, batched := range []bool{true, false} {
		for _, step := range steps {
			for lost := 1; lost <= 2; lost++ {
				t.Run(fmt.Sprintf("%s, %d lost, batched %v", step.name, lost, batched), func(t *testing.T) {
					is := is.New(t)
					ctx := context.Background()
					env := newTestEnv()
					j := env.journal(t, "vm-1", batched)
					_, err := j.Create(ctx, newProgram(testRoot), "vm-1")
					is.NoErr(err)
					is.NoErr(j.WriteIntent(ctx, &entity.Intent{Program: testRoot, RequestID: "old", AttemptID: "a0"}))
					for n := uint64(1); n <= 100; n++ {
						_, err := j.Append(ctx, testRoot, turnChange(testRoot, n))
						is.NoErr(err)
					}
					env.setFaults(t, platformsvc.Fault{LoseAnswers: lost})
					is.NoErr(step.run(ctx, j))
					next := uint64(len(turnNumbers(t, j, testRoot))) + 1
					_, err = j.Append(ctx, testRoot, turnChange(testRoot, next)) // the row versions are still correct
					is.NoErr(err)
					is.Equal(len(turnNumbers(t, j, testRoot)), int(next))
				})
			}
		}
	}
}

func TestJournal_ResponseLostAsThePlatformGoesDown(t *testing.T) {
	for _, applied := range []bool{true, false} {
		t.Run(fmt.Sprintf("applied %v", applied), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx := context.Background()
				env := newTestEnv()
				loseNext := false
				j := env.journal(t, "vm-1", false, func(o *Options) {
					o.Table = &commitHookTable{Table: o.Table, commit: func(next func() error) error {
						if !loseNext {
							return next()
						}
						loseNext = false
						if applied {
							is.NoErr(next())
						}
						env.setFaults(t, platformsvc.Fault{Down: true})
						return platform.ErrOutcomeUnknown
					}}
				})
				_, err := j.Create(ctx, newProgram(testRoot), "vm-1")
				is.NoErr(err)
				loseNext = true
				d, err := j.Append(ctx, testRoot, turnChange(testRoot, 1))
				is.NoErr(err)
				is.Equal(d, Buffered)
				d, err = j.Append(ctx, testRoot, turnChange(testRoot, 2))
				is.NoErr(err)
				is.Equal(d, Buffered)
				is.True(errors.Is(j.WriteIntent(ctx, &entity.Intent{Program: testRoot, RequestID: "x"}), ErrUnavailable))
				synctest.Wait() // until the family's writer has ended
				env.setFaults(t)
				is.Equal(j.Flush(ctx), 0)
				is.Equal(turnNumbers(t, j, testRoot), []uint64{1, 2})
				is.True(j.Owns(testRoot))
			})
		})
	}
}

func TestRecord_JSONRoundTrip(t *testing.T) {
	is := is.New(t)
	r := Record{Number: 3, Epoch: 2, Programs: []*entity.Program{newProgram(testRoot)}, Turns: []*entity.Turn{newTurn(testRoot, 1)}}
	raw, err := json.Marshal(r)
	is.NoErr(err)
	var back Record
	is.NoErr(json.Unmarshal(raw, &back))
	is.Equal(back, r)
}
