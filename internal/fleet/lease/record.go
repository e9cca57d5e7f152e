package lease

import "encoding/json"

// SessionRecord is the value of a session object, one per host. Incarnation and Serial
// identify a session. A session that was replaced by another one or marked with
// Expelled never becomes valid again. Renewal counts renewals.
type SessionRecord struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Serial      uint64 `json:"serial"`
	Renewal     uint64 `json:"renewal"`
	Expelled    string `json:"expelled,omitempty"` // the duty for which another host expelled the session, to take it over
}

// DutyRecord is the value of a duty's object. Host is empty after a release.
type DutyRecord struct {
	Duty        string `json:"duty"`
	Epoch       uint64 `json:"epoch"`
	Host        string `json:"host,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	Serial      uint64 `json:"serial,omitempty"`
}

// heldIn reports whether the holder took the duty in this session. It doesn't check whether
// the session is still valid.
func (d DutyRecord) heldIn(s SessionRecord) bool {
	return d.Host == s.Host && d.Incarnation == s.Incarnation && d.Serial == s.Serial
}

func encode[T any](record T) string {
	value, err := json.Marshal(record)
	if err != nil {
		return "" // structs of strings and numbers always encode
	}
	return string(value)
}

func decode[T any](value string) (T, bool) {
	var record T
	err := json.Unmarshal([]byte(value), &record)
	return record, err == nil
}
