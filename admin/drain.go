package admin

import "time"

// DrainPrefix is the prefix of the store keys of drains.
const DrainPrefix = "drain/"

// A DrainRecord is the audit entry of a drain in the store.
type DrainRecord struct {
	Target      string    `json:"target"`
	Incarnation string    `json:"incarnation"`
	Author      string    `json:"author"`
	Reason      string    `json:"reason"`
	Time        time.Time `json:"time"`
}

// Key returns the store key of the record. It identifies the target's
// incarnation, so that only the first drain of an incarnation is recorded.
func (record DrainRecord) Key() string {
	if record.Incarnation == "" {
		return DrainPrefix + record.Target
	}
	return DrainPrefix + record.Target + "/" + record.Incarnation
}
