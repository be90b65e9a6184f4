package settings

import (
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestSettings_EachHasAnEffect looks for a use of each setting in the code of
// other packages.
func TestSettings_EachHasAnEffect(t *testing.T) {
	is := is.New(t)
	var code, users strings.Builder // all code, and that which names a section's type
	for _, root := range []string{"../../internal", "../../cmd"} {
		is.NoErr(filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			ours := strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") && filepath.Dir(path) != "../../internal/settings"
			if err != nil || !ours {
				return err
			}
			source, err := os.ReadFile(path)
			code.Write(source)
			if strings.Contains(string(source), "internal/settings") || strings.Contains(string(source), "v.s.") {
				users.Write(source)
			}
			return err
		}))
	}
	// Taken in by the package itself: files, whose contents are other fields.
	inside := map[string]bool{"Fleet.KeyFile": true, "Fleet.PreviousKeyFile": true, "Keys.OperatorKeysFile": true}
	const use = `\b(?:[^\w ]| (?:[^=]|==))` // no assignment
	all := reflect.TypeFor[Settings]()
	for i := range all.NumField() {
		section := all.Field(i)
		if section.Type.Kind() != reflect.Struct {
			continue
		}
		for j := range section.Type.NumField() {
			field := section.Type.Field(j)
			name := section.Name + "." + field.Name
			direct := regexp.MustCompile(`\.` + section.Name + `\.` + field.Name + use).MatchString(code.String())
			passed := regexp.MustCompile(`\b[st]\.` + field.Name + use).MatchString(users.String())
			if field.IsExported() && !inside[name] && !direct && !passed {
				t.Errorf("%s.%s has no effect", section.Name, field.Name)
			}
		}
	}
}
