package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// binary is the path of the built command.
var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "ibisstall-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "ibisstall")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build the ibisstall binary: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// result is the exit code and the output of a run of the binary.
type result struct {
	code           int
	stdout, stderr string
}

// runBinary runs the binary until it exits. env holds additional environment
// variables, NAME=value.
func runBinary(t *testing.T, env []string, args ...string) result {
	t.Helper()
	const timeout = 30 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	var stdout, stderr bytes.Buffer
	cmd := exec.CommandContext(ctx, binary, args...)
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	cmd.Env = append(os.Environ(), env...)
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatalf("run ibisstall %v: %v", args, err)
	}
	return result{cmd.ProcessState.ExitCode(), stdout.String(), stderr.String()}
}

func TestBinary_ExitCodeDistinguishesUsageErrorsFromFailures(t *testing.T) {
	cases := []struct {
		name string
		args []string
		code int
		want string // substring of stdout or stderr
	}{
		{"no subcommand is a usage error", nil, exitUsage, "no subcommand"},
		{"an unknown subcommand is a usage error", []string{"fly"}, exitUsage, "fly"},
		{"an unknown option is a usage error", []string{"check-config", "--fast"}, exitUsage, "fast"},
		{"an extra argument is a usage error", []string{"check-config", "--defaults", "x"}, exitUsage, `"x"`},
		{"a missing argument is a usage error", []string{"table", "diff"}, exitUsage, "FILE"},
		{"an argument of the wrong type is a usage error", []string{"table", "revert", "x"}, exitUsage, "x"},
		{"an invalid program id is a usage error", []string{"program", "show", "X"}, exitUsage, "program id"},
		{"an invalid server URL is a usage error", []string{"vm", "list", "--server", "nowhere"}, exitUsage, "nowhere"},
		{"a missing file is a failure", []string{"check-config", "--config", "none.ini"}, exitFailure, "none.ini"},
		{"help succeeds", []string{"--help"}, exitOK, "check-config"},
		{"the version includes the commit", []string{"--version"}, exitOK, "commit"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := runBinary(t, nil, c.args...)
			is.Equal(r.code, c.code)
			is.True(strings.Contains(r.stdout+r.stderr, c.want))
			is.Equal(r.stdout == "", c.code != exitOK) // errors are printed to stderr only
		})
	}
}

func TestBinary_EverySubcommandHasHelpWithAnExample(t *testing.T) {
	var visit func(path []string, c command)
	visit = func(path []string, c command) {
		path = append(path[:len(path):len(path)], c.name)
		for _, sub := range c.sub {
			visit(path, sub)
		}
		if len(c.sub) > 0 {
			return
		}
		t.Run(strings.Join(path, " "), func(t *testing.T) {
			is := is.New(t)
			r := runBinary(t, nil, append(path, "--help")...)
			is.Equal(r.code, exitOK)
			is.True(strings.Contains(r.stdout, "$ ibisstall "+strings.Join(path, " ")))
		})
	}
	for _, c := range commands {
		visit(nil, c)
	}
}

func TestCheckConfig_NamesABadSetting(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "vm.ini")
	is.NoErr(os.WriteFile(file, []byte("[vm]\ndc = amman-a\nregion = amman\n[ownership]\nlease_ttl = 5\n"), 0o600))
	r := runBinary(t, nil, "check-config", "--config", file)
	is.Equal(r.code, exitFailure)
	is.True(strings.Contains(r.stderr, file+": section [ownership], key lease_ttl: not a duration; allowed: a duration with a unit"))
}

func TestCheckConfig_DefaultsPrintEveryKeyWithItsDefault(t *testing.T) {
	is := is.New(t)
	r := runBinary(t, nil, "check-config", "--defaults")
	is.Equal(r.code, exitOK)
	for _, want := range []string{"[ownership]", "lease_ttl = 6s", "; duration of a VM's lease.", "Required."} {
		is.True(strings.Contains(r.stdout, want))
	}
}

func TestKeyGenerate_WritesAFileReadableByItsOwnerOnly(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "operator.key")
	r := runBinary(t, nil, "key", "generate", "--output", file)
	is.Equal(r.code, exitOK)
	key, err := os.ReadFile(file)
	is.NoErr(err)
	is.True(!strings.Contains(r.stdout, strings.TrimSpace(string(key))))
	info, err := os.Stat(file)
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(0o600))
	second := runBinary(t, nil, "key", "generate", "--output", file)
	is.Equal(second.code, exitFailure) // never overwritten
}
