package cli

import (
	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/result"
)

// exitFailure is the exit code of errors without a result code.
const exitFailure = 1

// ExitCode returns the exit code for an error: 3, 4 or 5 for a result code of the
// groups not run, unknown or failed after run, and 1 for any other error.
func ExitCode(err error) int {
	var resultErr *result.Error
	if errors.As(err, &resultErr) {
		return int(resultErr.Code.Group())
	}
	return exitFailure
}
