package observe

import (
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// NewLogger returns the host's logger, which writes to standard error. Level is
// debug, info, warn or error; format is json or console.
func NewLogger(level, format string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	if format != "" {
		config.Encoding = format
	}
	if level != "" {
		parsed, err := zap.ParseAtomicLevel(level)
		if err != nil {
			return nil, errors.Wrap(err, "parse log level")
		}
		config.Level = parsed
	}
	config.DisableStacktrace = true
	return config.Build()
}

// ErrorText returns the field "error" with the text of err, without its stack trace.
func ErrorText(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// Revision returns a field with a revision of the metadata store, written as
// era/counter.
func Revision(key string, revision metastore.Revision) zap.Field {
	return zap.Stringer(key, revision)
}

// Since returns a field with the time that has passed since an event; none if it never happened.
func Since(key string, now, at time.Time) zap.Field {
	if at.IsZero() {
		return zap.Skip()
	}
	return zap.Duration(key, now.Sub(at))
}
