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

// TestSettings_EachHasAnEffect searches the code of other packages for a use of
// each setting, so that no setting is parsed but ignored.
func TestSettings_EachHasAnEffect(t *testing.T) {
	is := is.New(t)
	// The code that uses this package or the VM's settings. Other code is left out,
	// since it may have fields of the same names: front.Options has Limits.MaxBodyBytes.
	var settingsCode strings.Builder
	for _, root := range []string{"../../internal", "../../cmd"} {
		is.NoErr(filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			isCode := strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") && filepath.Dir(path) != "../../internal/settings"
			if err != nil || !isCode {
				return err
			}
			source, err := os.ReadFile(path)
			if strings.Contains(string(source), "internal/settings") || strings.Contains(string(source), "v.settings.") {
				settingsCode.Write(source)
			}
			return err
		}))
	}
	// Paths that only this package uses: it stores the files' contents in other fields.
	usedInPackage := map[string]bool{"Fleet.KeyFile": true, "Fleet.PreviousKeyFile": true, "Keys.OperatorKeysFile": true}
	const notAssigned = `\b(?:[^\w ]| (?:[^=]|==))` // a use other than an assignment
	all := reflect.TypeFor[Settings]()
	for i := range all.NumField() {
		section := all.Field(i)
		if section.Type.Kind() != reflect.Struct {
			continue
		}
		for j := range section.Type.NumField() {
			field := section.Type.Field(j)
			name := section.Name + "." + field.Name
			direct := regexp.MustCompile(`\.` + section.Name + `\.` + field.Name + notAssigned).MatchString(settingsCode.String())
			viaVariable := regexp.MustCompile(`\b[st]\.` + field.Name + notAssigned).MatchString(settingsCode.String())
			if field.IsExported() && !usedInPackage[name] && !direct && !viaVariable {
				t.Errorf("%s.%s has no effect", section.Name, field.Name)
			}
		}
	}
}
