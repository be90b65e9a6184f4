package front

import (
	"net/http"
	"sync"

	"ibisstall.example/ibisstall/gen/types"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/keys"
)

// workspaceKeys caches the key set of the configuration in force.
type workspaceKeys struct {
	mu      sync.Mutex
	version uint64
	set     *keys.Set
}

func (w *workspaceKeys) of(c *entity.Config) *keys.Set {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.set == nil || w.version != c.Version {
		w.set = keys.NewWorkspaceSet(c)
		w.version = c.Version
	}
	return w.set
}

// bearer returns the key of an Authorization header.
func bearer(authorization *string) (string, error) {
	if authorization == nil {
		return "", failure(nameUnauthorized, "a bearer key is needed", "Authorization")
	}
	key, ok := keys.Bearer(http.Header{"Authorization": {*authorization}})
	if !ok {
		return "", failure(nameUnauthorized, "the Authorization header must be Bearer and a key", "Authorization")
	}
	return key, nil
}

// workspace returns the workspace whose key it is.
func (f *Front) workspace(authorization *string) (string, error) {
	key, err := bearer(authorization)
	if err != nil {
		return "", err
	}
	name, ok := f.workspaces.of(f.o.Config.InForce()).Holder(key)
	if !ok {
		return "", f.notAccepted()
	}
	return name, nil
}

// known refuses a request with a body that carries no accepted key of any
// kind, so that only those with a key can make the VM hold a body.
func (f *Front) known(r *http.Request) *types.Failure {
	key, ok := keys.Bearer(r.Header)
	if !ok {
		return failure(nameUnauthorized, "a bearer key is needed", "Authorization")
	}
	if _, ok := f.o.Operators().Holder(key); ok {
		return nil
	}
	if _, ok := f.workspaces.of(f.o.Config.InForce()).Holder(key); ok {
		return nil
	}
	return f.notAccepted()
}

// notAccepted refuses a key. A VM that has just started and doesn't know the
// table yet can't tell whose key it is.
func (f *Front) notAccepted() *types.Failure {
	if f.o.Config.Loaded() {
		return failure(nameUnauthorized, "the key is not accepted", "Authorization")
	}
	return failure(nameNotRun, "this VM does not know the workspaces' keys yet", "")
}

// operator checks an operator's key.
func (f *Front) operator(authorization *string) error {
	key, err := bearer(authorization)
	if err != nil {
		return err
	}
	if _, ok := f.o.Operators().Holder(key); ok {
		return nil
	}
	if _, ok := f.workspaces.of(f.o.Config.InForce()).Holder(key); ok {
		return failure(nameForbidden, "an operator's key is needed", "Authorization")
	}
	return f.notAccepted()
}

// reader returns the workspace of a key, or an empty string for an operator's.
func (f *Front) reader(authorization *string) (string, error) {
	key, err := bearer(authorization)
	if err != nil {
		return "", err
	}
	if _, ok := f.o.Operators().Holder(key); ok {
		return "", nil
	}
	return f.workspace(authorization)
}
