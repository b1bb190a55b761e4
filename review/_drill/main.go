// Program drill plays cases of the review against the project's own program. It
// starts the hosts as processes, and stands in for the platform's store, servers and
// clients. It exits with 1 if a rule was broken, with 0 if not, and with 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
)

// cases maps the names of cases to functions that return whether the rule was held.
var cases = map[string]func(record *record, trouble bool) bool{
	"old-lists":  playOldLists,
	"lost-entry": playLostEntry,
	"keepers":    playKeepers,
	"survivors":  playSurvivors,
	"unlisted":   playUnlisted,
}

// cleanup is called before the program ends.
var cleanup = func() {}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail("usage: drill CASE RECORD")
	}
	record := newRecord(os.Args[2])
	held := cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	cleanup()
	record.close()
	if !held {
		os.Exit(1)
	}
}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "drill: "+format+"\n", args...)
	cleanup()
	os.Exit(2)
}

func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}
