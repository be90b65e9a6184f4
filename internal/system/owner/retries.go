package owner

import (
	"sync"

	"ibisstall.example/ibisstall/internal/policy/limits"
)

// maxSavedRetries bounds the retries that quiet traffic saves up.
const maxSavedRetries = 20

// retries is the retry budget of this VM's calls.
type retries struct {
	mu     sync.Mutex
	budget limits.RetryBudget // guarded by mu
}

func newRetries(share float64) *retries {
	return &retries{budget: limits.NewRetryBudget(share, maxSavedRetries)}
}

// called notes a call's first attempt.
func (r *retries) called() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget = r.budget.RecordCall()
}

// allow takes a retry from the budget.
func (r *retries) allow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	next, ok := r.budget.AllowRetry()
	r.budget = next
	return ok
}
