// Package tools pins the versions of the development tools that CI runs.
package tools
