// Package logging sets up the log: JSON lines with the keys of package tag.
// Lines never hold keys, message text or the bodies of calls.
package logging

import (
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ibisstall.example/ibisstall/internal/logging/tag"
)

// Repeats of one message at one level are thinned out: in each period the
// first ones are written, then one in repeatEvery.
const (
	repeatPeriod = time.Second
	repeatFirst  = 10
	repeatEvery  = 100
)

// New returns a logger that writes JSON lines to w, each with the VM that it
// comes from. Level is debug, info, warn or error. The logger must have no
// message that is put together from variables, since repeats are recognised by
// the message.
func New(w io.Writer, level, vm, dc string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	core := zapcore.NewCore(encoder(), zapcore.Lock(zapcore.AddSync(w)), l)
	core = zapcore.NewSamplerWithOptions(core, repeatPeriod, repeatFirst, repeatEvery)
	return zap.New(core, zap.Fields(tag.VM(vm), tag.DC(dc))), nil
}

func encoder() zapcore.Encoder {
	return zapcore.NewJSONEncoder(zapcore.EncoderConfig{
		TimeKey:        tag.KeyTime,
		LevelKey:       tag.KeyLevel,
		NameKey:        tag.KeyComponent,
		MessageKey:     tag.KeyMessage,
		StacktraceKey:  zapcore.OmitKey,
		EncodeTime:     encodeTime,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.SecondsDurationEncoder,
	})
}

func encodeTime(t time.Time, enc zapcore.PrimitiveArrayEncoder) {
	const layout = "2006-01-02T15:04:05.000Z"
	enc.AppendString(t.UTC().Format(layout))
}

// NewRateLimited returns a logger like New, whose volume is bounded by lines a second
// rather than by repeats, and which drops lines instead of waiting for w. Each
// second in which lines were dropped ends with a line that counts them.
func NewRateLimited(w io.Writer, level, vm, dc string, linesPerSecond int) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	sink := newSink(w, linesPerSecond)
	return zap.New(zapcore.NewCore(encoder(), sink, l), zap.Fields(tag.VM(vm), tag.DC(dc))), nil
}
