// Package runner holds small stand-ins of the runners that ibisstall routes
// to: a model engine, a tool service and a plain service. Each is an
// http.Handler that can be told to fail, and records what it received and ran
// so that tests can judge from the runner's point of view.
package runner
