package demo

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRun_BothConversationsSurviveAKilledVM(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	var out bytes.Buffer
	is.NoErr(Run(ctx, &out))
	is.Equal(strings.Count(out.String(), " killed\n"), 2)
	is.Equal(strings.Count(out.String(), "answered from the record"), 2)
}
