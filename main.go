// Command fescuehall is a query tier over many shards: it runs entry hosts and
// drives them.
package main

import (
	"os"

	"fescuehall/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:]))
}
