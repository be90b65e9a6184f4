package endpoint

import "ibisstall.example/ibisstall/internal/entity"

// HeaderNotRun is set to "true" on a refusal by a runner that did not run the
// request.
const HeaderNotRun = "X-Not-Run"

// LoadReport is what an engine reports of itself, some time ago.
type LoadReport struct {
	// Instance changes with each start of the engine.
	Instance     string   `json:"instance"`
	Running      int      `json:"running"` // calls in the batch
	Waiting      int      `json:"waiting"` // calls admitted but not in the batch
	Slots        int      `json:"slots"`   // largest batch
	CacheTokens  int64    `json:"cache_tokens"`
	UsedTokens   int64    `json:"used_tokens"`
	PinnedTokens int64    `json:"pinned_tokens"` // held for sessions
	Models       []string `json:"models"`
	Adapters     []string `json:"adapters,omitempty"`
	Version      string   `json:"version,omitempty"`
	Role         string   `json:"role,omitempty"`
	// Loading is the model that an order is being loaded for, or empty.
	Loading string `json:"loading,omitempty"`
	Leaving bool   `json:"leaving"`
}

// CacheEventKind is the type of a cache event.
type CacheEventKind string

// The types of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheRemoved CacheEventKind = "removed"
)

// CacheEvent tells of prefix blocks that an engine has stored or removed. Seq
// rises by one with each event; a missing number is a lost event.
type CacheEvent struct {
	Seq    uint64         `json:"seq"`
	Kind   CacheEventKind `json:"kind"`
	Blocks []uint64       `json:"blocks"`
}

// CachePage is a page of cache events. Next is the number to ask for next;
// First is the oldest number that the engine still has.
type CachePage struct {
	Instance string       `json:"instance"`
	First    uint64       `json:"first"`
	Next     uint64       `json:"next"`
	Events   []CacheEvent `json:"events"`
}

// CacheSnapshot is the whole prefix cache after all events before Next.
type CacheSnapshot struct {
	Instance string   `json:"instance"`
	Next     uint64   `json:"next"`
	Blocks   []uint64 `json:"blocks"`
}

// Session is the memory that an engine holds for a program.
type Session struct {
	Program entity.ProgramID `json:"program"`
	Tokens  int64            `json:"tokens"`
	// IdleSeconds is the time since the last call of the session ended; 0
	// while one runs.
	IdleSeconds float64 `json:"idle_seconds"`
}

// OrderKind is the type of an order to an engine.
type OrderKind string

// The types of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderLoadVersion OrderKind = "load_version"
	OrderSetRole     OrderKind = "set_role"
)

// Order tells an engine what to load or be. It names the wanted state, so
// that carrying it out twice is the same as once.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Name is the model, adapter, version or role.
	Name string `json:"name"`
	// Evict is the model or adapter to unload for it, or empty.
	Evict string `json:"evict,omitempty"`
}

// KV is the exported KV cache of a session.
type KV struct {
	Program entity.ProgramID `json:"program"`
	Model   string           `json:"model"`
	Blocks  []uint64         `json:"blocks"`
}
