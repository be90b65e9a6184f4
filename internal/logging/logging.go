// Package logging creates loggers that write JSON lines with the field keys of
// package tag. Lines never contain API keys, message text or bodies of calls.
package logging

import (
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ibisstall.example/ibisstall/internal/logging/tag"
)

// Repeated messages of the same level are sampled: in each interval, the first
// samplingFirst are written, then one in samplingThereafter.
const (
	samplingInterval   = time.Second
	samplingFirst      = 10
	samplingThereafter = 100
)

// New returns a logger that writes JSON lines to w, each with the VM and its data
// centre. Level is debug, info, warn or error. Messages must be constants, without
// variable parts, since sampling recognises repeats by the message.
func New(w io.Writer, level, vm, dc string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	core := zapcore.NewCore(encoder(), zapcore.Lock(zapcore.AddSync(w)), l)
	core = zapcore.NewSamplerWithOptions(core, samplingInterval, samplingFirst, samplingThereafter)
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

// NewRateLimited returns a logger like New that limits the lines per second
// instead of sampling repeats, and drops lines instead of blocking on w. If lines were
// dropped, a line with their number precedes the next line that is logged in a later
// second.
func NewRateLimited(w io.Writer, level, vm, dc string, linesPerSecond int) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	sink := newSink(w, linesPerSecond)
	return zap.New(zapcore.NewCore(encoder(), sink, l), zap.Fields(tag.VM(vm), tag.DC(dc))), nil
}
