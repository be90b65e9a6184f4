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
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// result is what a run of the binary gave.
type result struct {
	code           int
	stdout, stderr string
}

// runBinary runs the binary to its end, with further environment variables
// NAME=value.
func runBinary(t *testing.T, env []string, args ...string) result {
	t.Helper()
	const limit = 30 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	var stdout, stderr bytes.Buffer
	cmd := exec.CommandContext(ctx, binary, args...)
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	cmd.Env = append(os.Environ(), env...)
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatalf("%v: %v", args, err)
	}
	return result{cmd.ProcessState.ExitCode(), stdout.String(), stderr.String()}
}

func TestBinary_ExitCodeTellsWrongUseFromFailure(t *testing.T) {
	cases := []struct {
		name string
		args []string
		code int
		want string // in either output
	}{
		{"no subcommand is wrong use", nil, exitWrongUse, "no subcommand"},
		{"an unknown subcommand is wrong use", []string{"fly"}, exitWrongUse, "fly"},
		{"an unknown option is wrong use", []string{"check-config", "--fast"}, exitWrongUse, "fast"},
		{"a further argument is wrong use", []string{"check-config", "--defaults", "x"}, exitWrongUse, `"x"`},
		{"a missing argument is wrong use", []string{"table", "diff"}, exitWrongUse, "FILE"},
		{"an argument of the wrong type is wrong use", []string{"table", "revert", "x"}, exitWrongUse, "x"},
		{"a bad program id is wrong use", []string{"program", "show", "X"}, exitWrongUse, "program id"},
		{"a bad server is wrong use", []string{"vm", "list", "--server", "nowhere"}, exitWrongUse, "nowhere"},
		{"a missing file is a failure", []string{"check-config", "--config", "none.ini"}, exitFailed, "none.ini"},
		{"help is no failure", []string{"--help"}, exitDone, "check-config"},
		{"the version names the commit", []string{"--version"}, exitDone, "commit"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := runBinary(t, nil, c.args...)
			is.Equal(r.code, c.code)
			is.True(strings.Contains(r.stdout+r.stderr, c.want))
			is.Equal(r.stdout == "", c.code != exitDone) // errors go to stderr alone
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
			is.Equal(r.code, exitDone)
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
	is.Equal(r.code, exitFailed)
	is.True(strings.Contains(r.stderr, file+": section [ownership], key lease_ttl: not a duration; allowed: a duration with a unit"))
}

func TestCheckConfig_DefaultsPrintEveryKeyWithItsDefault(t *testing.T) {
	is := is.New(t)
	r := runBinary(t, nil, "check-config", "--defaults")
	is.Equal(r.code, exitDone)
	for _, want := range []string{"[ownership]", "lease_ttl = 6s", "; time for which a VM's lease holds.", "Required."} {
		is.True(strings.Contains(r.stdout, want))
	}
}

func TestKeyGenerate_WritesAKeyThatOnlyItsOwnerReads(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "operator.key")
	r := runBinary(t, nil, "key", "generate", "--output", file)
	is.Equal(r.code, exitDone)
	key, err := os.ReadFile(file)
	is.NoErr(err)
	is.True(!strings.Contains(r.stdout, strings.TrimSpace(string(key))))
	info, err := os.Stat(file)
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(0o600))
	again := runBinary(t, nil, "key", "generate", "--output", file)
	is.Equal(again.code, exitFailed) // never overwritten
}
