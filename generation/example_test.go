package generation_test

import (
	"fmt"
	"time"

	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/generation"
)

// An adopter keeps the highest generation that was offered to it.
func ExampleAdopter() {
	files := []folder.File{{Name: "10.ini", Data: []byte("[policy]\ngrant-bound = 900ms\n")}}
	merged, _ := folder.Merge(files)
	body, err := generation.NewBody(generation.BodyConfig{
		Generation: 3,
		Change:     "0d1f",
		Base:       generation.Head{Generation: 2, Change: "77aa", Digest: "e3b0"},
		Author:     "mirela",
		Reason:     "shorter bound",
		Time:       time.Date(2026, 12, 4, 9, 30, 0, 0, time.UTC),
		Folder:     merged,
		Files:      files,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	adopter := generation.NewAdopter()
	fmt.Printf("%T\n", adopter.Adopt(body))
	fmt.Printf("%T\n", adopter.Offer(body.Base()))
	fmt.Println(adopter.Head().Generation)
	// Output:
	// generation.Adopt
	// generation.Stale
	// 3
}
