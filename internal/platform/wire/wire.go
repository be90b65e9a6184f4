// Package wire defines the JSON messages, paths and headers of the platform
// services' HTTP protocol. The HTTP client and the simulated services
// (internal/standin/platformsvc) share it.
package wire

import "ibisstall.example/ibisstall/internal/platform"

// Paths of the services.
const (
	PathGet     = "/v1/table/get"
	PathScan    = "/v1/table/scan"
	PathCommit  = "/v1/table/commit"
	PathObjects = "/v1/objects/" // followed by the object's name
	PathVMs     = "/v1/vms"
)

// Headers of a request. HeaderRequest carries the id of the request; a service
// that supports it echoes the id in its response, so that the client detects a
// response to another request.
const (
	HeaderDC      = "X-DC" // data centre of the client
	HeaderRequest = "X-Request-ID"
)

// GetRequest is the body of a read by keys.
type GetRequest struct {
	Keys []platform.Key `json:"keys"`
}

// ScanRequest is the body of a scan of a table by id prefix.
type ScanRequest struct {
	Table  string `json:"table"`
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsResponse is the response to a GetRequest or a ScanRequest.
type RowsResponse struct {
	Rows []platform.Row `json:"rows"`
}

// CommitRequest is one transaction. The response status is 200, or 409 with a
// platform.ConflictError as its body.
type CommitRequest struct {
	Writes []platform.Write `json:"writes"`
}

// VMsResponse is the VM list. The request that sets the list has the same body.
type VMsResponse struct {
	VMs []platform.ListedVM `json:"vms"`
}

// ErrorResponse is the body of an error response other than a conflict.
type ErrorResponse struct {
	Message string `json:"message"`
}
