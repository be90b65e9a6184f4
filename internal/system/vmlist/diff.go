package vmlist

import (
	"cmp"
	"reflect"
	"slices"

	"ibisstall.example/ibisstall/internal/platform"
)

// sorted returns the entries sorted by id, so that the digest does not depend on
// the order in which the platform returns them.
func sorted(vms []platform.ListedVM) []platform.ListedVM {
	out := slices.Clone(vms)
	slices.SortStableFunc(out, func(a, b platform.ListedVM) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// unique reports whether the ids of a sorted list are unique.
func unique(vms []platform.ListedVM) bool {
	for i := 1; i < len(vms); i++ {
		if vms[i].ID == vms[i-1].ID {
			return false
		}
	}
	return true
}

// diff compares two sorted lists. It returns the entries of now that are new or
// changed, and the ids of the entries that were removed.
func diff(old, now []platform.ListedVM) (changed []platform.ListedVM, removed []string) {
	i := 0
	for _, vm := range now {
		for ; i < len(old) && old[i].ID < vm.ID; i++ {
			removed = append(removed, old[i].ID)
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
		removed = append(removed, old[i].ID)
	}
	return changed, removed
}

// patch applies the result of diff to the old list.
func patch(old, changed []platform.ListedVM, removed []string) []platform.ListedVM {
	replaced := make(map[string]bool, len(changed)+len(removed))
	for _, id := range removed {
		replaced[id] = true
	}
	for i := range changed {
		replaced[changed[i].ID] = true
	}
	out := make([]platform.ListedVM, 0, len(old)+len(changed))
	for i := range old {
		if !replaced[old[i].ID] {
			out = append(out, old[i])
		}
	}
	return sorted(append(out, changed...))
}
