// Package examples checks that the settings files and configuration tables of the
// example deployments are valid and consistent.
package examples

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/configcsv"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/settings"
)

var deployments = []struct {
	dir     string
	region  string
	vms     map[string]int // number of VMs by data centre
	engines int
	runners int  // number of runners of tools and services
	static  bool // the settings list the endpoints, instead of the platform's VM list
}{
	{"cooperativa-dulce-encuentro", "zona-central", map[string]int{"stgo-norte": 8, "stgo-sur": 8, "valpo-costa": 8}, 10, 5, true},
	{"jordan-postal-press", "amman", map[string]int{"amman-a": 7, "amman-b": 7, "amman-c": 7}, 8, 10, false},
}

// load parses the settings files of all VMs of a deployment.
func load(t *testing.T, dir string) []*settings.Settings {
	t.Helper()
	is := is.New(t)
	files, err := filepath.Glob(filepath.Join(dir, "vm", "*.ini"))
	is.NoErr(err)
	var all []*settings.Settings
	for _, file := range files {
		data, err := os.ReadFile(file)
		is.NoErr(err)
		s, err := settings.Parse(file, data)
		is.NoErr(err)
		all = append(all, s)
	}
	return all
}

func TestDeployments_SettingsAreConsistent(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.dir, func(t *testing.T) {
			is := is.New(t)
			vms := make(map[string]int)
			gossipAddrs := make(map[string]bool)
			all := load(t, d.dir)
			for _, s := range all {
				is.Equal(s.VM.Region, d.region)
				is.True(!gossipAddrs[s.VM.GossipListen]) // each VM has its own address
				gossipAddrs[s.VM.GossipListen] = true
				vms[s.VM.DC]++
				is.True(s.TLS.CertFile != "" && s.TLS.MeshCertFile != "")
				if d.static {
					is.Equal(len(s.Endpoints), d.engines+d.runners)
				}
			}
			is.Equal(vms, d.vms)
			for _, s := range all {
				for _, seed := range s.Fleet.Seeds {
					is.True(gossipAddrs[seed]) // a seed is a VM of the deployment
				}
			}
		})
	}
}

func TestDeployments_TableMatchesTheEndpoints(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.dir, func(t *testing.T) {
			is := is.New(t)
			f, err := os.Open(filepath.Join(d.dir, "table.csv"))
			is.NoErr(err)
			defer f.Close()
			table, err := configcsv.Read(f)
			is.NoErr(err)
			endpoints := 0
			for _, r := range table.Rows {
				switch r.Kind {
				case entity.RowEndpoint:
					endpoints++
				case entity.RowTool, entity.RowService:
					is.True(!r.Repeatable) // deposits and dispatches must run at most once
				}
			}
			is.Equal(endpoints, d.engines+d.runners)
			for _, e := range load(t, d.dir)[0].Endpoints {
				is.True(table.Row(entity.RowEndpoint, e.Name) != nil)
				if e.Target != "" {
					is.True(table.Row(entity.RowKind(e.Kind), e.Target) != nil)
				}
			}
		})
	}
}
