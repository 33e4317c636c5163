package cli

import (
	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/result"
)

// exitFailed is the exit code of errors that are no result code.
const exitFailed = 1

// ExitCode is the program's exit code for an error: 3, 4 and 5 for a result
// code of that group (not run, unknown, failed after run), otherwise 1.
func ExitCode(err error) int {
	var refused *result.Error
	if errors.As(err, &refused) {
		return int(refused.Code.Group())
	}
	return exitFailed
}
