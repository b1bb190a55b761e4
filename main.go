// Command fescuehall runs the entry hosts of a query tier over many shards, and
// has the commands that operate, query and measure them.
package main

import (
	"os"

	"fescuehall/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:]))
}
