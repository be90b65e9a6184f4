package front

import (
	"net/http"
	"sync"

	"ibisstall.example/ibisstall/gen/types"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/keys"
)

// workspaceKeys caches the set of the workspaces' keys in one version of the
// configuration.
type workspaceKeys struct {
	mu      sync.Mutex
	version uint64    // of the configuration that set was built from; guarded by mu
	set     *keys.Set // nil before the first forConfig; guarded by mu
}

// forConfig returns the set of the workspaces' keys in a configuration.
func (w *workspaceKeys) forConfig(c *entity.Config) *keys.Set {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.set == nil || w.version != c.Version {
		w.set = keys.NewWorkspaceSet(c)
		w.version = c.Version
	}
	return w.set
}

// bearer returns the key in an Authorization header, which is nil if the request
// has none.
func bearer(authorization *string) (string, error) {
	if authorization == nil {
		return "", newFailure(nameUnauthorized, "a bearer key is needed", "Authorization")
	}
	key, ok := keys.Bearer(http.Header{"Authorization": {*authorization}})
	if !ok {
		return "", newFailure(nameUnauthorized, "the Authorization header must be Bearer and a key", "Authorization")
	}
	return key, nil
}

// requireWorkspace returns the name of the workspace that the key belongs to. It
// rejects every other key, also an operator's.
func (f *Front) requireWorkspace(authorization *string) (string, error) {
	key, err := bearer(authorization)
	if err != nil {
		return "", err
	}
	name, ok := f.workspaces.forConfig(f.options.Config.InForce()).Holder(key)
	if !ok {
		return "", f.rejectKey()
	}
	return name, nil
}

// requireKey rejects a request without an accepted key of a workspace or an
// operator. It runs before a request's body is read, so that only requests with
// a key use memory for bodies.
func (f *Front) requireKey(r *http.Request) *types.Failure {
	key, ok := keys.Bearer(r.Header)
	if !ok {
		return newFailure(nameUnauthorized, "a bearer key is needed", "Authorization")
	}
	if _, ok := f.options.OperatorKeys().Holder(key); ok {
		return nil
	}
	if _, ok := f.workspaces.forConfig(f.options.Config.InForce()).Holder(key); ok {
		return nil
	}
	return f.rejectKey()
}

// rejectKey returns the error for an unknown key. Until this VM has loaded a
// configuration it can't check workspaces' keys, so the error is not_run, after
// which the caller may retry.
func (f *Front) rejectKey() *types.Failure {
	if f.options.Config.Loaded() {
		return newFailure(nameUnauthorized, "the key is not accepted", "Authorization")
	}
	return newFailure(nameNotRun, "this VM does not know the workspaces' keys yet", "")
}

// requireOperator returns an error unless the key is an operator's.
func (f *Front) requireOperator(authorization *string) error {
	key, err := bearer(authorization)
	if err != nil {
		return err
	}
	if _, ok := f.options.OperatorKeys().Holder(key); ok {
		return nil
	}
	if _, ok := f.workspaces.forConfig(f.options.Config.InForce()).Holder(key); ok {
		return newFailure(nameForbidden, "an operator's key is needed", "Authorization")
	}
	return f.rejectKey()
}

// requireReader returns the workspace whose programs the key may read, or an empty
// string for an operator's key, which may read those of all workspaces.
func (f *Front) requireReader(authorization *string) (string, error) {
	key, err := bearer(authorization)
	if err != nil {
		return "", err
	}
	if _, ok := f.options.OperatorKeys().Holder(key); ok {
		return "", nil
	}
	return f.requireWorkspace(authorization)
}
