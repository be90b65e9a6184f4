package vm

import (
	"context"
	"crypto/tls"

	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/tlsconf"
)

// openTLS reads the certificates that the settings name.
func (v *VM) openTLS() error {
	t := v.s.TLS
	var err error
	if t.CertFile != "" {
		files := tlsconf.Files{Cert: t.CertFile, Key: t.KeyFile, CA: t.ClientCAFile}
		if v.callerTLS, err = tlsconf.Open(files); err != nil {
			return err
		}
	}
	if t.MeshCertFile != "" {
		files := tlsconf.Files{Cert: t.MeshCertFile, Key: t.MeshKeyFile, CA: t.MeshCAFile}
		if v.meshTLS, err = tlsconf.Open(files); err != nil {
			return err
		}
	}
	return nil
}

func (v *VM) meshServerTLS() *tls.Config {
	if v.meshTLS == nil {
		return nil
	}
	return v.meshTLS.Server()
}

func (v *VM) meshClientTLS() *tls.Config {
	if v.meshTLS == nil {
		return nil
	}
	return v.meshTLS.Client()
}

// watchTLS takes in changed certificate files.
func (v *VM) watchTLS(ctx context.Context) {
	for _, source := range []*tlsconf.Source{v.callerTLS, v.meshTLS} {
		if source == nil {
			continue
		}
		v.spawn(func() { source.Watch(ctx, v.s.TLS.ReloadInterval, v.reportTLS) })
	}
}

func (v *VM) reportTLS(err error) {
	if err != nil {
		v.log.Error("certificates could not be read again; the former ones stay in use", tag.Error(err))
		return
	}
	v.log.Info("new certificates are in use")
}
