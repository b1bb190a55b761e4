// Command harness plays the cases of the review that are scripts. It runs in the
// root of the repository:
//
//	harness CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could
// not run. With TROUBLE=0 in its environment it plays the case without the
// disruption.
package main

import (
	"fmt"
	"os"
)

// cases maps names to the cases, which report whether the rule was broken.
var cases = map[string]func(record *record, trouble bool) (broken bool){
	"stop":     playStop,
	"zone":     playZone,
	"latebeat": playLateBeat,
	"survivor": playSurvivor,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail("usage: harness CASE RECORD")
	}
	record := newRecord(os.Args[2])
	if cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0") {
		record.say("the rule was broken")
		os.Exit(1)
	}
	record.say("the rule held")
}

// cleanUp ends what was started; it is nil when there is nothing.
var cleanUp func()

// fail ends the program because the case can't run.
func fail(format string, args ...any) {
	if cleanUp != nil {
		cleanUp()
	}
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(2)
}

func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}
