package front

import (
	"net/http"
	"sync"

	"ibisstall.example/ibisstall/gen/types"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/keys"
)

// workspaceKeys caches the key set of the latest configuration.
type workspaceKeys struct {
	mu      sync.Mutex
	version uint64
	set     *keys.Set
}

func (w *workspaceKeys) forConfig(c *entity.Config) *keys.Set {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.set == nil || w.version != c.Version {
		w.set = keys.NewWorkspaceSet(c)
		w.version = c.Version
	}
	return w.set
}

// bearer returns the key in an Authorization header.
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

// requireWorkspace returns the workspace that the key belongs to.
func (f *Front) requireWorkspace(authorization *string) (string, error) {
	key, err := bearer(authorization)
	if err != nil {
		return "", err
	}
	name, ok := f.workspaces.forConfig(f.o.Config.InForce()).Holder(key)
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
	if _, ok := f.o.OperatorKeys().Holder(key); ok {
		return nil
	}
	if _, ok := f.workspaces.forConfig(f.o.Config.InForce()).Holder(key); ok {
		return nil
	}
	return f.rejectKey()
}

// rejectKey returns the error for an unknown key. A VM that has not loaded the
// configuration yet can't tell whether the key is valid, so it asks for a retry
// instead.
func (f *Front) rejectKey() *types.Failure {
	if f.o.Config.Loaded() {
		return newFailure(nameUnauthorized, "the key is not accepted", "Authorization")
	}
	return newFailure(nameNotRun, "this VM does not know the workspaces' keys yet", "")
}

// requireOperator checks that the key is an operator's.
func (f *Front) requireOperator(authorization *string) error {
	key, err := bearer(authorization)
	if err != nil {
		return err
	}
	if _, ok := f.o.OperatorKeys().Holder(key); ok {
		return nil
	}
	if _, ok := f.workspaces.forConfig(f.o.Config.InForce()).Holder(key); ok {
		return newFailure(nameForbidden, "an operator's key is needed", "Authorization")
	}
	return f.rejectKey()
}

// requireReader returns the workspace that the key belongs to, or an empty
// string for an operator's key.
func (f *Front) requireReader(authorization *string) (string, error) {
	key, err := bearer(authorization)
	if err != nil {
		return "", err
	}
	if _, ok := f.o.OperatorKeys().Holder(key); ok {
		return "", nil
	}
	return f.requireWorkspace(authorization)
}
