package forward

// Workspace is a customer of the operators whose programs send requests with its keys.
type Workspace struct {
	Name string
	// Priority replaces that of the route if HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// Quota bounds the requests of a workspace over all VMs together.
type Quota struct {
	PerSecond float64 // 0 for no limit
	Burst     float64 // requests that may be ahead of PerSecond
}

// Limited reports whether the quota bounds anything.
func (q Quota) Limited() bool { return q.PerSecond > 0 }
