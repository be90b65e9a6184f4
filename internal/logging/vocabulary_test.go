package logging

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// untaggedField matches a field whose key does not come from package tag.
var untaggedField = regexp.MustCompile(`\bzap\.(String|Stringer|Strings|Int|Int32|Int64|Uint|Uint32|Uint64|Bool|Float64|Duration|Time|Any|Error|NamedError|ByteString|Binary)\(`)

func TestVocabulary_AllKeysComeFromTags(t *testing.T) {
	is := is.New(t)
	files := 0
	for _, root := range []string{"../../internal", "../../cmd"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			isSource := strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") && filepath.Dir(path) != "../../internal/logging/tag"
			if err != nil || !isSource {
				return err
			}
			files++
			source, err := os.ReadFile(path)
			if untagged := untaggedField.Find(source); untagged != nil {
				t.Errorf("%s logs a field whose key is not from package tag: %s", path, untagged)
			}
			return err
		})
		is.NoErr(err)
	}
	is.True(files > 100)
}
