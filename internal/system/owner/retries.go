package owner

import (
	"sync"

	"ibisstall.example/ibisstall/internal/policy/limits"
)

// maxSavedRetries bounds the unused retries that accumulate.
const maxSavedRetries = 20

// retryBudget limits the retries of this VM's calls. It is safe for concurrent
// use.
type retryBudget struct {
	mu     sync.Mutex
	budget limits.RetryBudget // guarded by mu
}

func newRetryBudget(ratio float64) *retryBudget {
	return &retryBudget{budget: limits.NewRetryBudget(ratio, maxSavedRetries)}
}

// recordCall counts the first attempt of a call.
func (r *retryBudget) recordCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget = r.budget.RecordCall()
}

// allowRetry reports whether the budget allows a retry, and deducts it.
func (r *retryBudget) allowRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	next, ok := r.budget.AllowRetry()
	r.budget = next
	return ok
}
