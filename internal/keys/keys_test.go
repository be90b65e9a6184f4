package keys

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
)

func TestSet_HolderAcceptsEveryKeyOfAWorkspaceDuringRotation(t *testing.T) {
	is := is.New(t)
	old, renewed, other := Generate(), Generate(), Generate()
	table := &entity.Config{Rows: []entity.ConfigRow{
		{Kind: entity.RowWorkspace, Name: "couples", KeyHashes: []string{HashKey(old).String(), HashKey(renewed).String()}},
		{Kind: entity.RowWorkspace, Name: "bakers", KeyHashes: []string{HashKey(other).String()}},
		{Kind: entity.RowTool, Name: "deposit"},
	}}
	s := NewWorkspaceSet(table)
	is.Equal(s.Len(), 3)
	for key, want := range map[string]string{old: "couples", renewed: "couples", other: "bakers"} {
		holder, ok := s.Holder(key)
		is.True(ok)
		is.Equal(holder, want)
	}
	table.Rows[0].KeyHashes = table.Rows[0].KeyHashes[1:] // revoke the old key
	_, ok := NewWorkspaceSet(table).Holder(old)
	is.True(!ok)
}

func TestSet_HolderRejectsUnknownAndEmptyKeys(t *testing.T) {
	is := is.New(t)
	s := NewOperatorSet([]string{HashKey(Generate()).String(), "not a hash"})
	is.Equal(s.Len(), 1)
	for _, key := range []string{"", Generate(), HashKey("x").String()} {
		_, ok := s.Holder(key)
		is.True(!ok)
	}
	_, ok := NewOperatorSet(nil).Holder("")
	is.True(!ok)
}

func TestBearer(t *testing.T) {
	cases := []struct {
		name, header, key string
		ok                bool
	}{
		{"a bearer token is found", "Bearer abc", "abc", true},
		{"the scheme is case-insensitive", "bEARER abc", "abc", true},
		{"another scheme is rejected", "Basic abc", "", false},
		{"an empty token is rejected", "Bearer   ", "", false},
		{"a missing header is rejected", "", "", false},
		{"a token that is too long is rejected", "Bearer " + strings.Repeat("a", MaxKeyBytes+1), "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			key, ok := Bearer(http.Header{"Authorization": {c.header}})
			is.Equal(ok, c.ok)
			if ok {
				is.Equal(key, c.key)
			}
		})
	}
}

func TestGenerate_KeysDifferAndTheirHashesParse(t *testing.T) {
	is := is.New(t)
	a, b := Generate(), Generate()
	is.True(a != b && strings.HasPrefix(a, Prefix))
	h, ok := ParseHash(HashKey(a).String())
	is.True(ok)
	is.Equal(h, HashKey(a))
}
