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

// Error describes one invalid setting.
type Error struct {
	File    string
	Section string
	Key     string // empty if the section itself is invalid
	Reason  string
	Allowed string // allowed values; empty if the reason includes them
}

// Error implements error. The text never includes the value, which may be a
// secret that was entered under the wrong key.
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

// MaxFileSize is the maximum size of a settings file.
const MaxFileSize = MiB

// Load reads a settings file and the secret files that it refers to, and
// generates the VM's id if none is set. It reports every invalid setting as an
// *Error; several errors are joined.
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

// GenerateVMID returns a random id, prefixed with the data centre, for a new VM.
func GenerateVMID(dc string) string {
	const (
		randomBytes = 5
		maxDCLength = 48
	)
	var b [randomBytes]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	if len(dc) > maxDCLength {
		dc = dc[:maxDCLength]
	}
	return dc + "-" + hex.EncodeToString(b[:])
}

// Default returns the default settings. Required keys have no default and are
// empty.
func Default() *Settings {
	s := &Settings{}
	for _, spec := range keySpecs(s) {
		if err := spec.parser.parse(spec.defaultText); err != nil {
			panic(fmt.Sprintf("default of [%s] %s: %v", spec.section, spec.key, err))
		}
	}
	return s
}

// Parse parses the text of a settings file without accessing any other file.
// The name is used in error messages and to resolve relative paths.
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
	r.readSections(file)
	if len(r.errs) == 0 {
		r.errs = s.consistencyErrors()
	}
	if len(r.errs) > 0 {
		return nil, errors.Join(r.errs...)
	}
	return s, nil
}

// syntaxError reports the line of an INI syntax error, but not the text of the
// line, which may be a misplaced secret.
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

// reader parses one file into settings and collects the errors.
type reader struct {
	name     string
	settings *Settings
	errs     []error
}

func (r *reader) addError(section, key, reason, allowed string) {
	r.errs = append(r.errs, &Error{File: r.name, Section: section, Key: key, Reason: reason, Allowed: allowed})
}

func (r *reader) readSections(file *ini.File) {
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
				r.addError("", key.Name(), "key outside of any section", "keys after a [section] line")
			}
		case strings.HasPrefix(name, endpointPrefix):
			r.readEndpoint(section)
		case bySection[name] != nil:
			r.readSection(section, bySection[name])
		default:
			r.addError(name, "", "unknown section", strings.Join(sections, ", ")+", endpoint NAME")
		}
	}
	for _, name := range sections {
		if !file.HasSection(name) {
			r.checkRequired(bySection[name], nil)
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
	present := make(map[string]bool)
	for _, key := range section.Keys() {
		spec, known := byKey[key.Name()]
		if !known {
			r.addError(section.Name(), key.Name(), "unknown key", strings.Join(keys, ", "))
			continue
		}
		values := key.ValueWithShadows()
		if len(values) > 1 {
			r.addError(section.Name(), key.Name(), "given more than once", "one line")
			continue
		}
		text := ""
		if len(values) == 1 {
			text = values[0]
		}
		present[key.Name()] = text != ""
		if err := spec.parser.parse(text); err != nil {
			r.addError(section.Name(), key.Name(), err.Error(), spec.parser.allowed)
		}
	}
	r.checkRequired(specs, present)
}

// checkRequired adds an error for each required key that is not in present.
func (r *reader) checkRequired(specs []keySpec, present map[string]bool) {
	for _, spec := range specs {
		if spec.required && !present[spec.key] {
			r.addError(spec.section, spec.key, "missing", spec.parser.allowed)
		}
	}
}

func (r *reader) readEndpoint(section *ini.Section) {
	e := entity.Endpoint{Name: strings.TrimSpace(strings.TrimPrefix(section.Name(), endpointPrefix))}
	if !entity.ValidName(e.Name) {
		r.addError(section.Name(), "", "invalid endpoint name", name(&e.Name).allowed)
		return
	}
	before := len(r.errs)
	r.readSection(section, endpointKeys(section.Name(), &e))
	if len(r.errs) > before {
		return
	}
	isEngine := e.Kind == entity.KindEngine
	switch {
	case isEngine && len(e.Models) == 0:
		r.addError(section.Name(), "models", "missing for an engine", "names separated by commas")
	case isEngine && e.Target != "":
		r.addError(section.Name(), "target", "set for an engine", "nothing; only tools and services have a target")
	case !isEngine && e.Target == "":
		r.addError(section.Name(), "target", "missing for a tool or service", "the name that callers use")
	case !isEngine && len(e.Models) > 0:
		r.addError(section.Name(), "models", "set for a tool or service", "nothing; only engines have models")
	}
	r.settings.Endpoints = append(r.settings.Endpoints, e)
}

// resolvePath resolves a path from the settings file against the directory of
// that file.
func (s *Settings) resolvePath(p string) string {
	if p == "" || filepath.IsAbs(p) {
		return p
	}
	return filepath.Join(filepath.Dir(s.File), p)
}

// readBounded reads a file. It fails if the file is larger than limit.
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
