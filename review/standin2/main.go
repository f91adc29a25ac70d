// Command standin2 runs the scripts of the second review: it starts nodes as processes of
// their own, with stand-ins of the platform's store, of runners and of clients around them, on
// loopback addresses. Its argument is the number of the case and the folder for the record.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(*record) (bool, error){"drain": runDrain, "lapse": runLapse}
	run, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	notes, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	notes.trouble = os.Getenv("TROUBLE") != "0"
	broken, err := run(notes)
	notes.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "not run:", err)
		os.Exit(exitNotRun)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
