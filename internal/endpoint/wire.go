package endpoint

import "ibisstall.example/ibisstall/internal/entity"

// HeaderNotRun is "true" in an error response of a runner that did not run the
// request.
const HeaderNotRun = "X-Not-Run"

// LoadReport is an engine's report of its load. It may be out of date.
type LoadReport struct {
	// Instance is different after each start of the engine.
	Instance     string   `json:"instance"`
	Running      int      `json:"running"`       // calls in the batch
	Waiting      int      `json:"waiting"`       // calls admitted but not in the batch
	Slots        int      `json:"slots"`         // largest batch size
	CacheTokens  int64    `json:"cache_tokens"`  // capacity of the prefix cache
	UsedTokens   int64    `json:"used_tokens"`   // in the prefix cache
	PinnedTokens int64    `json:"pinned_tokens"` // reserved for sessions
	Models       []string `json:"models"`
	Adapters     []string `json:"adapters,omitempty"`
	Version      string   `json:"version,omitempty"`
	Role         string   `json:"role,omitempty"`
	// Loading is the model that is being loaded by an order, or empty.
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

// CacheEvent reports prefix blocks that an engine has stored or removed. Seq
// increases by one with each event; a gap means lost events.
type CacheEvent struct {
	Seq    uint64         `json:"seq"`
	Kind   CacheEventKind `json:"kind"`
	Blocks []uint64       `json:"blocks"`
}

// CachePage is a page of cache events. Next is the sequence number to request
// next; First is the lowest one that the engine still has.
type CachePage struct {
	Instance string       `json:"instance"`
	First    uint64       `json:"first"`
	Next     uint64       `json:"next"`
	Events   []CacheEvent `json:"events"`
}

// CacheSnapshot is the content of the prefix cache after all events before
// Next.
type CacheSnapshot struct {
	Instance string   `json:"instance"`
	Next     uint64   `json:"next"`
	Blocks   []uint64 `json:"blocks"`
}

// Session is the KV cache that an engine holds for a program.
type Session struct {
	Program entity.ProgramID `json:"program"`
	Tokens  int64            `json:"tokens"`
	// IdleSeconds is the time since the last call of the session ended; 0 while
	// a call runs.
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

// Order is an order to an engine to load something or to change its role. It
// states the desired state, so that executing it twice has the same effect as
// once.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Name is the model, adapter, version or role.
	Name string `json:"name"`
	// Evict is the model or adapter to unload first, or empty.
	Evict string `json:"evict,omitempty"`
}

// KV is the exported KV cache of a session. Blocks are the hashes of its prefix
// blocks in order.
type KV struct {
	Program entity.ProgramID `json:"program"`
	Model   string           `json:"model"`
	Blocks  []uint64         `json:"blocks"`
}
