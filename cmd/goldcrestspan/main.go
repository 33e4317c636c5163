// Command goldcrestspan is the one program of the project.
package main

import (
	"fmt"
	"os"

	"github.com/goldcrestspan/goldcrestspan/cli"
)

func main() {
	if err := cli.NewRoot().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "goldcrestspan:", err)
		os.Exit(1)
	}
}
