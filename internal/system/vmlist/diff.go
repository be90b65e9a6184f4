package vmlist

import (
	"cmp"
	"reflect"
	"slices"

	"ibisstall.example/ibisstall/internal/platform"
)

// sorted returns the entries in order of their ids, so that a list has the same
// digest in whatever order the platform gives it.
func sorted(vms []platform.ListedVM) []platform.ListedVM {
	out := slices.Clone(vms)
	slices.SortStableFunc(out, func(a, b platform.ListedVM) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// unique reports whether no two entries of a sorted list share an id.
func unique(vms []platform.ListedVM) bool {
	for i := 1; i < len(vms); i++ {
		if vms[i].ID == vms[i-1].ID {
			return false
		}
	}
	return true
}

// diff returns the entries of a sorted list that an older one lacks or has
// otherwise, and the ids that are gone from it.
func diff(old, now []platform.ListedVM) (changed []platform.ListedVM, gone []string) {
	i := 0
	for _, vm := range now {
		for ; i < len(old) && old[i].ID < vm.ID; i++ {
			gone = append(gone, old[i].ID)
		}
		if i < len(old) && old[i].ID == vm.ID {
			i++
			if reflect.DeepEqual(old[i-1], vm) {
				continue
			}
		}
		changed = append(changed, vm)
	}
	for ; i < len(old); i++ {
		gone = append(gone, old[i].ID)
	}
	return changed, gone
}

// patch applies a diff to the list that it was made against.
func patch(old, changed []platform.ListedVM, gone []string) []platform.ListedVM {
	drop := make(map[string]bool, len(changed)+len(gone))
	for _, id := range gone {
		drop[id] = true
	}
	for i := range changed {
		drop[changed[i].ID] = true
	}
	out := make([]platform.ListedVM, 0, len(old)+len(changed))
	for i := range old {
		if !drop[old[i].ID] {
			out = append(out, old[i])
		}
	}
	return sorted(append(out, changed...))
}
