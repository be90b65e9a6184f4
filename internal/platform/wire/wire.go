// Package wire holds the JSON messages and paths of the platform services, as
// the HTTP client and the stand-in both speak them.
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

// Headers of a request. HeaderRequest names the request; a service that knows
// it repeats it in its answer, which tells crossed answers.
const (
	HeaderDC      = "X-DC" // data centre of the client
	HeaderRequest = "X-Request-ID"
)

// GetRequest asks for rows by key.
type GetRequest struct {
	Keys []platform.Key `json:"keys"`
}

// ScanRequest asks for the rows of a table by prefix.
type ScanRequest struct {
	Table  string `json:"table"`
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsResponse answers a GetRequest and a ScanRequest.
type RowsResponse struct {
	Rows []platform.Row `json:"rows"`
}

// CommitRequest is one transaction. Its answer is 200, or 409 with a
// platform.ConflictError.
type CommitRequest struct {
	Writes []platform.Write `json:"writes"`
}

// VMsResponse is the VM list; it is also the body that sets it.
type VMsResponse struct {
	VMs []platform.ListedVM `json:"vms"`
}

// ErrorResponse is the body of a refusal other than a conflict.
type ErrorResponse struct {
	Message string `json:"message"`
}
