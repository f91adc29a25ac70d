package limit_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// propertySeed makes property tests repeatable; -rapid.seed overrides it.
const propertySeed = "20261204"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", propertySeed); err != nil {
		panic(err)
	}
	flag.Parse()
	fmt.Println("rapid seed", propertySeed)
	os.Exit(m.Run())
}
