package folder_test

import (
	"fmt"

	"lacewingspoke.org/lacewingspoke/folder"
)

// A later file overrides a key and erases a section of an earlier one.
func ExampleMerge() {
	merged, problems := folder.Merge([]folder.File{
		{Name: "10-base.ini", Data: []byte(`
[target-class plain]
order-delay = 2s
[target-class unused]
`)},
		{Name: "90-change.ini", Data: []byte(`
[target-class plain]
order-delay = 500ms
[!target-class unused]
`)},
	})
	fmt.Println(len(problems), "problems")
	for _, origin := range merged.Provenance() {
		if origin.Section() != "[policy]" {
			fmt.Println(origin)
		}
	}

	_, problems = folder.Merge([]folder.File{{Name: "10-base.ini", Data: []byte("[policy]\ngrant-bound = 1 second\n")}})
	fmt.Println(problems[0])
	// Output:
	// 0 problems
	// default: [target-class plain] checks-fencing = no
	// 90-change.ini:3: [target-class plain] order-delay = 500ms
	// default: [target-class plain] opened-by-order = no
	// default: [target-class plain] checks-sequence = no
	// default: [target-class plain] open-time = 300ms
	// 10-base.ini:2: grant-bound: duration "1 second" (want for example 250ms, 3s or 24h) not valid
}
