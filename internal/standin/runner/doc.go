// Package runner implements simulated runners for tests and load runs: a model
// engine, a tool service and a plain service. Each is an http.Handler with
// fault injection, and records the calls that it received and executed, so that
// tests can check them on the runner's side.
package runner
