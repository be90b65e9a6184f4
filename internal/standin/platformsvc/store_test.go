package platformsvc

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/platform"
)

func TestStore_ScanAppliesPrefixAfterAndLimit(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := NewStore()
	for _, id := range []string{"b/2", "a/1", "b/1", "b/3", "c/1"} {
		is.NoErr(s.Commit(ctx, []platform.Write{{Key: platform.Key{Table: "t", ID: id}, Value: []byte(id)}}))
	}
	is.NoErr(s.Commit(ctx, []platform.Write{{Key: platform.Key{Table: "t", ID: "b/3"}, IfVersion: 1, Delete: true}}))
	cases := []struct {
		prefix, after string
		limit         int
		want          string
	}{
		{"b/", "", 10, "[b/1 b/2]"},
		{"b/", "b/1", 10, "[b/2]"},
		{"", "", 2, "[a/1 b/1]"},
		{"", "b/15", 9, "[b/2 c/1]"},
		{"a/", "b", 9, "[]"},
	}
	for _, c := range cases {
		rows, err := s.Scan(ctx, "t", c.prefix, c.after, c.limit)
		is.NoErr(err)
		ids := []string{}
		for _, r := range rows {
			ids = append(ids, r.Key.ID)
		}
		is.Equal(fmt.Sprint(ids), c.want)
	}
}

func TestStore_EnforcesLimits(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := NewStore()
	many := make([]platform.Write, platform.MaxTxnWrites+1)
	for i := range many {
		many[i].Key = platform.Key{Table: "t", ID: fmt.Sprint(i)}
	}
	is.True(errors.Is(s.Commit(ctx, many), ErrInvalid))
	is.NoErr(s.Commit(ctx, many[:platform.MaxTxnWrites]))
	large := []platform.Write{{Key: platform.Key{Table: "t", ID: "large"}, Value: make([]byte, platform.MaxTxnBytes)}}
	is.True(errors.Is(s.Commit(ctx, large), ErrInvalid))
	_, err := s.Scan(ctx, "t", "", "", platform.MaxScanRows+1)
	is.True(errors.Is(err, ErrInvalid))
}

func TestStore_ListIsDelayedByTheLag(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	now := time.Unix(1000, 0)
	s := NewStore()
	s.now = func() time.Time { return now }
	s.SetVMs([]platform.ListedVM{{ID: "vm-1"}})
	s.SetListLag(time.Second)
	vms, err := s.List(ctx)
	is.NoErr(err)
	is.Equal(len(vms), 0)
	now = now.Add(time.Second)
	vms, err = s.List(ctx)
	is.NoErr(err)
	is.Equal(len(vms), 1)
}

func TestServer_LimitsTheRate(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := NewServer(NewStore())
	is.NoErr(s.SetControl(Control{WritesPerSecond: 1}))
	d := s.Client("amman-a")
	write := func(id string) []platform.Write {
		return []platform.Write{{Key: platform.Key{Table: "t", ID: id}}}
	}
	is.NoErr(d.Commit(ctx, write("a")))
	is.True(errors.Is(d.Commit(ctx, write("b")), platform.ErrUnavailable))
	_, err := d.Get(ctx, []platform.Key{{Table: "t", ID: "a"}}) // reads have their own limit
	is.NoErr(err)
	is.Equal(s.Counters(), Counters{Reads: 1, Writes: 1, Transactions: 1, RowsWritten: 1, Refused: 1})
}
