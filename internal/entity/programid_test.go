package entity

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestRootIDFor_IsDerivedFromWorkspaceAndRequest(t *testing.T) {
	is := is.New(t)
	id := RootIDFor("stgo-sur", "couples", "r1")
	is.NoErr(id.Validate())
	is.Equal(id, RootIDFor("stgo-sur", "couples", "r1")) // a retry gets the same program
	is.Equal(id.DC(), "stgo-sur")
	is.True(id.IsRoot())
	is.True(id.MayBelongTo("couples"))
	is.True(!id.MayBelongTo("rounds"))
	// The boundary between workspace and request id is part of the digest.
	a, b := RootIDFor("d", "couples", "\x00r"), RootIDFor("d", "couples\x00", "r")
	is.True(strings.TrimPrefix(string(a), "d."+WorkspaceTag("couples")) != strings.TrimPrefix(string(b), "d."+WorkspaceTag("couples\x00")))
}

func TestChildIDFor_IsInTheFamilyOfItsParent(t *testing.T) {
	is := is.New(t)
	longest := strings.Repeat("d", 64)
	root := RootIDFor(longest, "couples", "r1")
	child := ChildIDFor(root, "r2")
	is.NoErr(child.Validate())
	is.Equal(child.Root(), root)
	is.True(child.MayBelongTo("couples"))
	is.True(child != ChildIDFor(root, "r3"))
	is.True(child != ChildIDFor(child, "r2")) // a sub-agent of a sub-agent
	is.NoErr(ChildIDFor(child, "r2").Validate())
}
