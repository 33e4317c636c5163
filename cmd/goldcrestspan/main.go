// Command goldcrestspan runs entry hosts and the tools for callers and operators.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/goldcrestspan/goldcrestspan/cli"
	"github.com/goldcrestspan/goldcrestspan/internal/signals"
)

func main() {
	received := signals.Receive()
	if err := cli.NewRoot(received).ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "goldcrestspan:", err)
		os.Exit(cli.ExitCode(err))
	}
}
