package lease

import "encoding/json"

// SessionRecord is the value of a session object, one per host. A session is
// named by Incarnation and Serial; it never comes back after another one, or
// after Expelled.
type SessionRecord struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Serial      uint64 `json:"serial"`
	Renewal     uint64 `json:"renewal"`
	Expelled    string `json:"expelled,omitempty"` // the host that expelled it
}

// DutyRecord is the value of a duty's object. Host is empty when released.
type DutyRecord struct {
	Duty        string `json:"duty"`
	Epoch       uint64 `json:"epoch"`
	Host        string `json:"host,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	Serial      uint64 `json:"serial,omitempty"`
}

// names says whether the session is the one that the duty's holder had.
func (d DutyRecord) names(s SessionRecord) bool {
	return d.Host == s.Host && d.Incarnation == s.Incarnation && d.Serial == s.Serial
}

func encode[T any](record T) string {
	value, err := json.Marshal(record)
	if err != nil {
		return "" // plain structs of strings and numbers always encode
	}
	return string(value)
}

func decode[T any](value string) (T, bool) {
	var record T
	err := json.Unmarshal([]byte(value), &record)
	return record, err == nil
}
