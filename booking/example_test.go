package booking_test

import (
	"fmt"
	"time"

	"lacewingspoke.org/lacewingspoke/booking"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

func Example() {
	now := time.Unix(0, 0)
	config := booking.TicketConfig{
		Workspace:      "memorials",
		IdempotencyKey: "plank-17",
		Attempt:        "attempt-1",
		RequestDigest:  booking.RequestDigest("POST", "/bookings", []byte(`{"plank":"17"}`)),
		Validity:       time.Minute,
	}
	first := booking.NewTicket(config, now)
	stored := first.CreateRequest()
	step := first.AfterCreate(kvstore.Written{Revision: 1})
	fmt.Printf("%T, may send: %v\n", step, first.MaySend(now))

	// A repeated request through another node finds the claim.
	config.Attempt = "attempt-2"
	repeat := booking.NewTicket(config, now)
	fmt.Printf("%T\n", repeat.AfterCreate(kvstore.Conflict{Revision: 1}))
	reply := repeat.AfterRead(kvstore.Entry{Key: stored.Key, Value: stored.Value, Revision: 1}, true, now)
	fmt.Printf("%T\n", reply.(booking.Reply).Reply)
	// Output:
	// booking.Send, may send: true
	// booking.Read
	// booking.InProgress
}
