package folder_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// propertySeed makes the property tests repeat the same values.
const propertySeed = "20261204"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", propertySeed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println("rapid seed", propertySeed)
	os.Exit(m.Run())
}
