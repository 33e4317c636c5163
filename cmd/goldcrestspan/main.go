// Command goldcrestspan is the one program of the project.
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
