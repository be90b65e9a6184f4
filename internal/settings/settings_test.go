package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const minimalSettings = `
[vm]
dc = amman-a
region = amman
[platform]
table_url = http://10.0.0.1:9000/
objects_url = http://10.0.0.1:9001
vm_list_url = http://10.0.0.1:9002
`

func TestParse_ReadsTypedValuesOverDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse("a.ini", []byte(minimalSettings+`
[ownership]
lease_ttl = 8s ; a comment
[limits]
body_bytes = 64KiB
[endpoint engine-1]
kind = engine
url = http://10.0.1.1:8000
dc = amman-a
models = rounds-8b, rounds-70b
checks_fencing = true
`))
	is.NoErr(err)
	is.Equal(s.VM.DC, "amman-a")
	is.Equal(s.Platform.TableURL, "http://10.0.0.1:9000")
	is.Equal(s.Ownership.LeaseTTL, 8*time.Second)
	is.Equal(s.Ownership.LeaseRenewInterval, Default().Ownership.LeaseRenewInterval)
	is.Equal(s.Limits.MaxBodyBytes, 64*KiB)
	is.Equal(len(s.Endpoints), 1)
	is.Equal(s.Endpoints[0].Models, []string{"rounds-8b", "rounds-70b"})
	is.True(s.Endpoints[0].ChecksFencing)
}

func TestParse_ReportsFileSectionKeyAndAllowedValues(t *testing.T) {
	cases := []struct {
		name, text, section, key, allowed string
	}{
		{"an unknown section lists the known ones", "[lease]\nttl = 1s", "lease", "", "ownership"},
		{"an unknown key lists the known ones", "[ownership]\nttl = 1s", "ownership", "ttl", "lease_ttl"},
		{"a duration needs a unit", "[ownership]\nlease_ttl = 5", "ownership", "lease_ttl", "a unit"},
		{"a size needs a unit", "[limits]\nbody_bytes = 100", "limits", "body_bytes", "MiB"},
		{"a number must be in range", "[limits]\nconnections = 0", "limits", "connections", "1 to"},
		{"a ratio must not be NaN", "[policy]\nretry_ratio = NaN", "policy", "retry_ratio", "0 to 1"},
		{"an unknown choice lists the choices", "[policy]\norder = random", "policy", "order", "first-come"},
		{"a seed needs an IP address", "[fleet]\nseeds = vm1:80", "fleet", "seeds", "IP address"},
		{"a key must not be repeated", "[policy]\norder = first-come\norder = first-come", "policy", "order", "one line"},
		{"lease_renew must be below lease_ttl", "[ownership]\nlease_renew = 6s", "ownership", "lease_renew", "lease_ttl"},
		{"isolation_limit must be below adoption_limit", "[ownership]\nisolation_limit = 44s", "ownership", "isolation_limit", "adoption_limit"},
		{"a certificate needs its key", "[tls]\ncert_file = a.pem", "tls", "cert_file", "both"},
		{"an engine needs models", "[endpoint e1]\nkind = engine\nurl = http://1.2.3.4\ndc = d", "endpoint e1", "models", "names"},
		{"an endpoint's name must be valid", "[endpoint E 1]\nkind = engine", "endpoint E 1", "", "lower-case"},
		{"a tool needs its target", "[endpoint t1]\nkind = tool\nurl = http://1.2.3.4\ndc = d", "endpoint t1", "target", "callers"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("etc/a.ini", []byte(minimalSettings+c.text))
			var bad *Error
			is.True(errors.As(err, &bad))
			is.Equal(bad.File, "etc/a.ini")
			is.Equal(bad.Section, c.section)
			is.Equal(bad.Key, c.key)
			is.True(strings.Contains(bad.Allowed, c.allowed))
		})
	}
}

func TestParse_ReportsTheLineOfASyntaxErrorWithoutItsText(t *testing.T) {
	is := is.New(t)
	_, err := Parse("a.ini", []byte("[vm]\ndc = d\nhunter2\n"))
	is.True(err != nil && strings.Contains(err.Error(), "a.ini: line 3"))
	is.True(!strings.Contains(err.Error(), "hunter2"))
	_, err = Parse("a.ini", []byte("[vm\ndc = hunter2\n"))
	is.True(err != nil && !strings.Contains(err.Error(), "hunter2"))
}

func TestParse_ReportsEveryMissingKey(t *testing.T) {
	is := is.New(t)
	_, err := Parse("a.ini", nil)
	for _, key := range []string{"dc", "region", "table_url", "objects_url", "vm_list_url"} {
		is.True(strings.Contains(err.Error(), "key "+key+": missing"))
	}
}

func TestParse_RefusesAnUnspecifiedAdvertisedAddress(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(minimalSettings, "[vm]", "[vm]\nmesh_listen = 0.0.0.0:8081", 1) + "[fleet]\nkey_file = k\n"
	_, err := Parse("a.ini", []byte(text))
	var bad *Error
	is.True(errors.As(err, &bad))
	is.Equal(bad.Key, "mesh_listen")
}

func TestParse_RequiresAFleetKeyForNonLoopbackAddresses(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(minimalSettings, "[vm]", "[vm]\ngossip_listen = 10.0.0.1:8081", 1)
	_, err := Parse("a.ini", []byte(text))
	var bad *Error
	is.True(errors.As(err, &bad))
	is.Equal(bad.Key, "key_file")
	_, err = Parse("a.ini", []byte(text+"[fleet]\nkey_file = k\n"))
	is.NoErr(err)
}

func TestLoad_ChecksAccessToSecretsAndNeverPrintsThem(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	file := filepath.Join(dir, "a.ini")
	key := filepath.Join(dir, "fleet.key")
	const secret = "correct horse battery staple"
	is.NoErr(os.WriteFile(file, []byte(minimalSettings+"[fleet]\nkey_file = fleet.key\n"), 0o644))
	is.NoErr(os.WriteFile(key, []byte(secret+"\n"), 0o644))

	_, err := Load(file)
	var bad *Error
	is.True(errors.As(err, &bad)) // readable by others
	is.Equal(bad.Key, "key_file")
	is.True(!strings.Contains(err.Error(), secret))

	is.NoErr(os.Chmod(key, 0o600))
	s, err := Load(file)
	is.NoErr(err)
	is.Equal(string(s.Fleet.Key.Reveal()), secret)
	is.True(strings.HasPrefix(s.VM.ID, "amman-a-")) // generated
	encoded, err := json.Marshal(s)
	is.NoErr(err)
	printed := fmt.Sprintf("%v %+v %#v %s %x", s.Fleet.Key, s.Fleet, s.Fleet, s.Fleet.Key, s.Fleet.Key)
	for _, text := range []string{string(encoded), printed} {
		is.True(!strings.Contains(text, "horse"))
		is.True(!strings.Contains(text, fmt.Sprintf("%x", "horse")))
	}
}

func TestLoad_ReadsOperatorKeyHashesFromTheFile(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	file, hashFile := filepath.Join(dir, "a.ini"), filepath.Join(dir, "hashes")
	hash := strings.Repeat("ab", 32)
	is.NoErr(os.WriteFile(file, []byte(minimalSettings+"[keys]\noperator_keys_file = hashes\n"), 0o600))
	is.NoErr(os.WriteFile(hashFile, []byte("# on call\n"+hash+"\n"), 0o600))
	s, err := Load(file)
	is.NoErr(err)
	is.Equal(s.Keys.OperatorKeyHashes, []string{hash})

	replacement := strings.Repeat("cd", 32) // a key can be replaced without a restart
	is.NoErr(os.WriteFile(hashFile, []byte(replacement+"\n"), 0o600))
	reread, err := s.ReadOperatorHashes()
	is.NoErr(err)
	is.Equal(reread, []string{replacement})

	is.NoErr(os.WriteFile(hashFile, []byte("nonsense\n"), 0o600))
	_, err = Load(file)
	is.True(err != nil && strings.Contains(err.Error(), "line 1"))
}

func TestWriteDefaults_PrintsAnINIFileWithTheDefaults(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.NoErr(WriteDefaults(&out))
	text, _, _ := strings.Cut(out.String(), "[endpoint NAME]")
	text = strings.NewReplacer(
		"; dc = ", "dc = amman-a", "; region = ", "region = amman",
		"; table_url = ", "table_url = http://10.0.0.1",
		"; objects_url = ", "objects_url = http://10.0.0.1",
		"; vm_list_url = ", "vm_list_url = http://10.0.0.1").Replace(text)
	s, err := Parse("defaults.ini", []byte(text))
	is.NoErr(err)
	is.Equal(s.Ownership, Default().Ownership)
	is.Equal(s.Limits, Default().Limits)
}

func TestSize_StringRoundTrips(t *testing.T) {
	is := is.New(t)
	for _, s := range []Size{0, 1, 1500, KiB, 3 * MiB, 7 * GiB} {
		back, err := ParseSize(s.String())
		is.NoErr(err)
		is.Equal(back, s)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz.ini", data)
		if err != nil {
			return
		}
		if s.VM.DC == "" || s.Platform.TableURL == "" {
			t.Fatal("a required key is missing from accepted settings")
		}
		if s.Ownership.LeaseRenewInterval >= s.Ownership.LeaseTTL {
			t.Fatal("accepted settings contradict each other")
		}
	})
}
