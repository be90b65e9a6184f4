// Package docs checks the links in the documentation, and that its pages cover all
// alerts, HTTP paths and error types.
package docs

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// read returns the content of a file, whose path is relative to docs.
func read(t *testing.T, file string) string {
	t.Helper()
	data, err := os.ReadFile(file)
	is.New(t).NoErr(err)
	return string(data)
}

func TestPages_LinkedFilesExist(t *testing.T) {
	link := regexp.MustCompile(`\]\(([^)#]+)(#[^)]*)?\)`)
	pages, err := filepath.Glob("*.md")
	is.New(t).NoErr(err)
	for _, page := range append(pages, "../README.md", "../examples/README.md") {
		t.Run(page, func(t *testing.T) {
			is := is.New(t)
			for _, m := range link.FindAllStringSubmatch(read(t, page), -1) {
				if strings.Contains(m[1], "://") {
					continue
				}
				_, err := os.Stat(filepath.Join(filepath.Dir(page), m[1]))
				is.NoErr(err)
			}
		})
	}
}

func TestOperations_HasASectionForEachAlert(t *testing.T) {
	is := is.New(t)
	page := read(t, "OPERATIONS.md")
	alerts := regexp.MustCompile(`alert: (\w+)`).FindAllStringSubmatch(read(t, "../examples/alerts.yml"), -1)
	is.True(len(alerts) > 0)
	for _, a := range alerts {
		if !strings.Contains(page, "\n### "+a[1]+"\n") {
			t.Errorf("OPERATIONS.md has no section for the alert %s", a[1])
		}
	}
}

func TestAPI_NamesEachPathAndError(t *testing.T) {
	is := is.New(t)
	page := read(t, "API.md")
	var spec struct {
		Paths map[string]json.RawMessage `json:"paths"`
	}
	is.NoErr(json.Unmarshal([]byte(read(t, "../gen/http/openapi3.json")), &spec))
	is.True(len(spec.Paths) > 0)
	for path := range spec.Paths {
		if !strings.Contains(page, path) {
			t.Errorf("API.md does not name the path %s", path)
		}
	}
	for _, m := range regexp.MustCompile(`\{"(\w+)", Status`).FindAllStringSubmatch(read(t, "../design/design.go"), -1) {
		if !strings.Contains(page, "| `"+m[1]+"` |") {
			t.Errorf("API.md has no table row for the error type %s", m[1])
		}
	}
}
