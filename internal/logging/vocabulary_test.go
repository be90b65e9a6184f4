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

// fieldOfOwn finds a key that a line of code makes up by itself.
var fieldOfOwn = regexp.MustCompile(`\bzap\.(String|Stringer|Strings|Int|Int32|Int64|Uint|Uint32|Uint64|Bool|Float64|Duration|Time|Any|Error|NamedError|ByteString|Binary)\(`)

func TestVocabulary_AllKeysComeFromTags(t *testing.T) {
	is := is.New(t)
	files := 0
	for _, root := range []string{"../../internal", "../../cmd"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			ours := strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") && filepath.Dir(path) != "../../internal/logging/tag"
			if err != nil || !ours {
				return err
			}
			files++
			source, err := os.ReadFile(path)
			if own := fieldOfOwn.Find(source); own != nil {
				t.Errorf("%s has a log key of its own: %s", path, own)
			}
			return err
		})
		is.NoErr(err)
	}
	is.True(files > 100)
}
