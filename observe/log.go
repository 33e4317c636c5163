package observe

import (
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// NewLogger makes the host's logger, which writes to standard error. Level is
// debug, info, warn or error; format is json or console.
func NewLogger(level, format string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	if format != "" {
		config.Encoding = format
	}
	if level != "" {
		parsed, err := zap.ParseAtomicLevel(level)
		if err != nil {
			return nil, errors.Wrap(err, "log level")
		}
		config.Level = parsed
	}
	config.DisableStacktrace = true
	return config.Build()
}

// ErrorText writes an error without the stack of where it was made, which costs
// a page of log for each line.
func ErrorText(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// Revision is a revision of the metadata store as a field: its era, a slash and its counter.
func Revision(key string, revision metastore.Revision) zap.Field {
	return zap.Stringer(key, revision)
}
