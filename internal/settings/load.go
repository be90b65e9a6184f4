package settings

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gopkg.in/ini.v1"

	"ibisstall.example/ibisstall/internal/entity"
)

// Error is one bad setting.
type Error struct {
	File    string
	Section string
	Key     string // empty if the section itself is wrong
	Reason  string
	Allowed string // empty if the reason says it all
}

// Error implements error. It never shows the value, which may be a secret put
// in the wrong place.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: section [%s]", e.File, e.Section)
	if e.Key != "" {
		text += fmt.Sprintf(", key %s", e.Key)
	}
	text += ": " + e.Reason
	if e.Allowed != "" {
		text += "; allowed: " + e.Allowed
	}
	return text
}

// MaxFileSize is the largest settings file that is read.
const MaxFileSize = MiB

// Load reads a settings file and the files with secrets that it names, and
// generates the VM's id if none is set. It reports every bad setting, each as
// an *Error, joined.
func Load(file string) (*Settings, error) {
	data, err := readBounded(file, MaxFileSize)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(file, data)
	if err != nil {
		return nil, err
	}
	if err := s.readSecrets(); err != nil {
		return nil, err
	}
	if s.VM.ID == "" {
		s.VM.ID = GenerateVMID(s.VM.DC)
	}
	return s, nil
}

// GenerateVMID returns a fresh id for a VM in a data centre.
func GenerateVMID(dc string) string {
	const (
		randomBytes = 5
		maxDC       = 48
	)
	var b [randomBytes]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	if len(dc) > maxDC {
		dc = dc[:maxDC]
	}
	return dc + "-" + hex.EncodeToString(b[:])
}

// Default returns the settings that hold where a file says nothing. Required
// keys are empty in it.
func Default() *Settings {
	s := &Settings{}
	for _, spec := range keySpecs(s) {
		if err := spec.value.set(spec.def); err != nil {
			panic(fmt.Sprintf("default of [%s] %s: %v", spec.section, spec.key, err))
		}
	}
	return s
}

// Parse reads the text of a settings file without touching any other file.
// The name is for messages and for relative paths.
func Parse(name string, data []byte) (*Settings, error) {
	options := ini.LoadOptions{
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		KeyValueDelimiters:         "=",
	}
	file, err := ini.LoadSources(options, data)
	if err != nil {
		return nil, syntaxError(name, data, err)
	}
	s := Default()
	s.File = name
	r := reader{name: name, settings: s}
	r.readAll(file)
	if len(r.errs) == 0 {
		r.errs = s.contradictions()
	}
	if len(r.errs) > 0 {
		return nil, errors.Join(r.errs...)
	}
	return s, nil
}

// syntaxError tells where a file is no INI file, without showing its text,
// which may be a secret put in the wrong place.
func syntaxError(name string, data []byte, err error) error {
	if !ini.IsErrDelimiterNotFound(err) {
		return fmt.Errorf("%s: not an INI file: a section or a quote is not closed", name)
	}
	text := strings.TrimSpace(err.(ini.ErrDelimiterNotFound).Line)
	for i, line := range strings.Split(string(data), "\n") {
		if strings.TrimSpace(line) == text {
			return fmt.Errorf("%s: line %d: not a `key = value` line", name, i+1)
		}
	}
	return fmt.Errorf("%s: not an INI file: a line is not `key = value`", name)
}

// reader gathers the errors of one file.
type reader struct {
	name     string
	settings *Settings
	errs     []error
}

func (r *reader) fail(section, key, reason, allowed string) {
	r.errs = append(r.errs, &Error{File: r.name, Section: section, Key: key, Reason: reason, Allowed: allowed})
}

func (r *reader) readAll(file *ini.File) {
	bySection := make(map[string][]keySpec)
	var sections []string
	for _, spec := range keySpecs(r.settings) {
		if bySection[spec.section] == nil {
			sections = append(sections, spec.section)
		}
		bySection[spec.section] = append(bySection[spec.section], spec)
	}
	for _, section := range file.Sections() {
		name := section.Name()
		switch {
		case name == ini.DefaultSection:
			for _, key := range section.Keys() {
				r.fail("", key.Name(), "key outside of any section", "a [section] line before it")
			}
		case strings.HasPrefix(name, endpointPrefix):
			r.readEndpoint(section)
		case bySection[name] != nil:
			r.readSection(section, bySection[name])
		default:
			r.fail(name, "", "unknown section", strings.Join(sections, ", ")+", endpoint NAME")
		}
	}
	for _, name := range sections {
		if !file.HasSection(name) {
			r.requireAll(bySection[name], nil)
		}
	}
}

func (r *reader) readSection(section *ini.Section, specs []keySpec) {
	byKey := make(map[string]keySpec, len(specs))
	keys := make([]string, len(specs))
	for i, spec := range specs {
		byKey[spec.key] = spec
		keys[i] = spec.key
	}
	given := make(map[string]bool)
	for _, key := range section.Keys() {
		spec, known := byKey[key.Name()]
		if !known {
			r.fail(section.Name(), key.Name(), "unknown key", strings.Join(keys, ", "))
			continue
		}
		values := key.ValueWithShadows()
		if len(values) > 1 {
			r.fail(section.Name(), key.Name(), "given more than once", "one line")
			continue
		}
		text := ""
		if len(values) == 1 {
			text = values[0]
		}
		given[key.Name()] = text != ""
		if err := spec.value.set(text); err != nil {
			r.fail(section.Name(), key.Name(), err.Error(), spec.value.allowed)
		}
	}
	r.requireAll(specs, given)
}

func (r *reader) requireAll(specs []keySpec, given map[string]bool) {
	for _, spec := range specs {
		if spec.required && !given[spec.key] {
			r.fail(spec.section, spec.key, "missing", spec.value.allowed)
		}
	}
}

func (r *reader) readEndpoint(section *ini.Section) {
	e := entity.Endpoint{Name: strings.TrimSpace(strings.TrimPrefix(section.Name(), endpointPrefix))}
	if !entity.ValidName(e.Name) {
		r.fail(section.Name(), "", "bad endpoint name", name(&e.Name).allowed)
		return
	}
	before := len(r.errs)
	r.readSection(section, endpointKeys(section.Name(), &e))
	if len(r.errs) > before {
		return
	}
	engine := e.Kind == entity.KindEngine
	switch {
	case engine && len(e.Models) == 0:
		r.fail(section.Name(), "models", "missing for an engine", "names separated by commas")
	case engine && e.Target != "":
		r.fail(section.Name(), "target", "set for an engine", "nothing; it belongs to tools and services")
	case !engine && e.Target == "":
		r.fail(section.Name(), "target", "missing for a tool or service", "the name that callers use")
	case !engine && len(e.Models) > 0:
		r.fail(section.Name(), "models", "set for a tool or service", "nothing; it belongs to engines")
	}
	r.settings.Endpoints = append(r.settings.Endpoints, e)
}

// path resolves a path of the file against the file's directory.
func (s *Settings) path(p string) string {
	if p == "" || filepath.IsAbs(p) {
		return p
	}
	return filepath.Join(filepath.Dir(s.File), p)
}

// readBounded reads a file of at most limit bytes.
func readBounded(file string, limit Size) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if info.Size() > int64(limit) {
		return nil, fmt.Errorf("%s is larger than %v", file, limit)
	}
	return os.ReadFile(file)
}
