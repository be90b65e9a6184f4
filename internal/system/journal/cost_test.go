package journal

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/standin/platformsvc"
)

// BenchmarkJournal_AppendCost reports the journal's own processor time and
// allocations for each appended turn. The table is in the same process and adds
// little cost.
func BenchmarkJournal_AppendCost(b *testing.B) {
	ctx := context.Background()
	direct := platformsvc.NewServer(platformsvc.NewStore()).Client("amman-a")
	j := New(Options{Table: direct, Objects: direct.Objects()})
	defer j.Close()
	createAll(b, []*Journal{j}, 1, 0)
	root := entity.ProgramID("amman-a.p0000")
	answer := make([]byte, benchAnswerBytes)
	b.ReportAllocs()
	n := uint64(0)
	for b.Loop() {
		n++
		turn := newTurn(root, n)
		turn.Answer = answer
		if _, err := j.Append(ctx, root, Changes{Turns: []*entity.Turn{turn}}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkJournal_FamilyMemory reports the heap bytes of an owned family.
func BenchmarkJournal_FamilyMemory(b *testing.B) {
	const families = 10_000
	direct := platformsvc.NewServer(platformsvc.NewStore()).Client("amman-a")
	creator := New(Options{Table: direct, Objects: direct.Objects()})
	defer creator.Close()
	roots := createAll(b, []*Journal{creator}, families, 0)
	owners := 0
	for b.Loop() {
		owners++
		j := New(Options{Table: direct, Objects: direct.Objects()})
		before := heap()
		for _, a := range j.Adopt(context.Background(), roots, fmt.Sprint("vm-", owners)) {
			if a.Err != nil {
				b.Fatal(a.Err)
			}
		}
		b.ReportMetric((heap()-before)/families, "bytes/family")
		runtime.KeepAlive(j)
		j.Close()
	}
}

// heap returns the heap bytes in use after a garbage collection.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
