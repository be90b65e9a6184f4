package front

import (
	"context"
	"strconv"
	"strings"
	"time"

	"ibisstall.example/ibisstall/gen/table"
	"ibisstall.example/ibisstall/gen/types"
	"ibisstall.example/ibisstall/internal/entity"
)

// tableService implements the design's service of the configuration, which is
// the table of weights and limits.
type tableService struct{ front *Front }

var _ table.Service = tableService{}

// Get returns the configuration in force on this VM.
func (s tableService) Get(_ context.Context, p *table.GetPayload) (*types.Table, error) {
	if err := s.front.requireOperator(p.Authorization); err != nil {
		return nil, err
	}
	return tableBody(s.front.options.Config.InForce()), nil
}

// Put replaces the rows of the configuration.
func (s tableService) Put(ctx context.Context, p *table.PutPayload) (*types.Table, error) {
	base, editID, err := s.checkEdit(p.Authorization, p.IfMatch, p.EditID)
	if err != nil {
		return nil, err
	}
	rows := make([]entity.ConfigRow, 0, len(p.Rows))
	for i, r := range p.Rows {
		row, err := configRow(r, i+1)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	c, err := s.front.options.Config.Edit(ctx, base, rows, editID, stringOrEmpty(p.Author))
	if err != nil {
		return nil, convertError(err)
	}
	return tableBody(c), nil
}

// Revert replaces the rows of the configuration by those of an earlier version.
func (s tableService) Revert(ctx context.Context, p *table.RevertPayload) (*types.Table, error) {
	base, editID, err := s.checkEdit(p.Authorization, p.IfMatch, p.EditID)
	if err != nil {
		return nil, err
	}
	c, err := s.front.options.Config.Revert(ctx, base, p.Version, editID, stringOrEmpty(p.Author))
	if err != nil {
		return nil, convertError(err)
	}
	return tableBody(c), nil
}

// History returns earlier versions of the configuration.
func (s tableService) History(ctx context.Context, p *table.HistoryPayload) ([]*types.Table, error) {
	if err := s.front.requireOperator(p.Authorization); err != nil {
		return nil, err
	}
	versions, err := s.front.options.Config.History(ctx)
	if err != nil {
		return nil, convertError(err)
	}
	out := make([]*types.Table, 0, len(versions))
	for _, c := range versions {
		out = append(out, tableBody(c))
	}
	return out, nil
}

// checkEdit checks the key of an edit and returns its base version and its id,
// which is generated if the caller sent none.
func (s tableService) checkEdit(authorization, ifMatch, editID *string) (base uint64, id string, err error) {
	if err := s.front.requireOperator(authorization); err != nil {
		return 0, "", err
	}
	if ifMatch == nil {
		return 0, "", newFailure(nameBadRequest, "an edit needs If-Match with the version that it is based on", "If-Match")
	}
	base, err = strconv.ParseUint(strings.Trim(*ifMatch, `"`), 10, 64)
	if err != nil {
		return 0, "", newFailure(nameBadRequest, "If-Match must be a version", "If-Match")
	}
	id, err = s.front.requestID(editID)
	return base, id, err
}

func stringOrEmpty(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

func tableBody(c *entity.Config) *types.Table {
	out := &types.Table{
		Version: c.Version,
		Etag:    strconv.Quote(strconv.FormatUint(c.Version, 10)),
		Rows:    make([]*types.Row, 0, len(c.Rows)),
	}
	if c.Author != "" {
		out.Author = &c.Author
	}
	if !c.At.IsZero() {
		at := c.At.UTC().Format(time.RFC3339Nano)
		out.At = &at
	}
	for i := range c.Rows {
		out.Rows = append(out.Rows, rowBody(&c.Rows[i]))
	}
	return out
}

func rowBody(r *entity.ConfigRow) *types.Row {
	timeout := r.Timeout.String()
	return &types.Row{
		Kind:          string(r.Kind),
		Name:          r.Name,
		Weight:        &r.Weight,
		RatePerSecond: &r.RatePerSecond,
		MaxConcurrent: &r.MaxConcurrent,
		MaxQueue:      &r.MaxQueue,
		Timeout:       &timeout,
		Repeatable:    &r.Repeatable,
		Drain:         &r.Drain,
		KeyHashes:     r.KeyHashes,
	}
}

// configRow converts a row; number is its position in the request, from 1. Absent
// columns get their zero values, except that the weight is 1.
func configRow(r *types.Row, number int) (entity.ConfigRow, error) {
	out := entity.ConfigRow{
		Kind:          entity.RowKind(r.Kind),
		Name:          r.Name,
		Weight:        orDefault(r.Weight, 1),
		RatePerSecond: orDefault(r.RatePerSecond, 0),
		MaxConcurrent: orDefault(r.MaxConcurrent, 0),
		MaxQueue:      orDefault(r.MaxQueue, 0),
		Repeatable:    orDefault(r.Repeatable, false),
		Drain:         orDefault(r.Drain, false),
		KeyHashes:     r.KeyHashes,
	}
	if r.Timeout == nil || *r.Timeout == "" {
		return out, nil
	}
	timeout, err := time.ParseDuration(*r.Timeout)
	if err != nil {
		rowErr := &entity.RowError{Row: number, Kind: out.Kind, Name: r.Name, Column: "timeout", Reason: "must be a duration with a unit"}
		return out, newFailure(nameBadRequest, rowErr.Error(), "timeout")
	}
	out.Timeout = timeout
	return out, nil
}

func orDefault[T any](v *T, fallback T) T {
	if v == nil {
		return fallback
	}
	return *v
}
