package vm

import (
	"context"
	"crypto/tls"

	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/tlsconf"
)

// openTLS loads the certificates that the settings name.
func (v *VM) openTLS() error {
	t := v.settings.TLS
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
	return v.meshTLS.ServerConfig()
}

func (v *VM) meshClientTLS() *tls.Config {
	if v.meshTLS == nil {
		return nil
	}
	return v.meshTLS.ClientConfig()
}

// watchTLS starts loops that reload changed certificate files.
func (v *VM) watchTLS(ctx context.Context) {
	for _, source := range []*tlsconf.Source{v.callerTLS, v.meshTLS} {
		if source == nil {
			continue
		}
		v.startGoroutine(func() { source.Watch(ctx, v.settings.TLS.ReloadInterval, v.logTLSReload) })
	}
}

func (v *VM) logTLSReload(err error) {
	if err != nil {
		v.log.Error("failed to reload certificates; the previous ones stay in use", tag.Error(err))
		return
	}
	v.log.Info("reloaded certificates")
}
