// Command goldcrestspan runs entry hosts and the tools for callers and operators.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/goldcrestspan/goldcrestspan/cli"
)

func main() {
	if err := cli.NewRoot().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "goldcrestspan:", err)
		os.Exit(cli.ExitCode(err))
	}
}
