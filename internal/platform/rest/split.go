package rest

import (
	"encoding/json"
	"errors"
)

// encoding/json refuses a text as a whole if a part of it is nested too deeply. A response that
// contains values of other writers is therefore split first and decoded value by value, so that
// one unreadable value spoils no other. Splitting takes no stack, however deep a value is.

// errNotJSON is returned for a text that can't be split.
var errNotJSON = errors.New("not a complete JSON value of the expected kind")

// Members calls visit with the name and the text of each member of a JSON object, in order,
// until visit returns an error, and returns that error. The texts are parts of raw and need
// not be valid JSON themselves.
func Members(raw []byte, visit func(name string, value json.RawMessage) error) error {
	return split(raw, '{', '}', func(at int) (int, error) {
		nameEnd, err := valueEnd(raw, at)
		if err != nil || raw[at] != '"' {
			return 0, errNotJSON
		}
		var name string
		if err := json.Unmarshal(raw[at:nameEnd], &name); err != nil {
			return 0, errNotJSON
		}
		start := skipSpace(raw, nameEnd)
		if start >= len(raw) || raw[start] != ':' {
			return 0, errNotJSON
		}
		start = skipSpace(raw, start+1)
		end, err := valueEnd(raw, start)
		if err != nil {
			return 0, err
		}
		return end, visit(name, raw[start:end])
	})
}

// Elements calls visit with the text of each element of a JSON array, like Members. The text
// null has no elements.
func Elements(raw []byte, visit func(value json.RawMessage) error) error {
	if string(raw) == "null" {
		return nil
	}
	return split(raw, '[', ']', func(at int) (int, error) {
		end, err := valueEnd(raw, at)
		if err != nil {
			return 0, err
		}
		return end, visit(raw[at:end])
	})
}

// split calls part at the start of each part between two delimiters. part returns the end of
// the part.
func split(raw []byte, first, last byte, part func(at int) (end int, err error)) error {
	at := skipSpace(raw, 0)
	if at >= len(raw) || raw[at] != first {
		return errNotJSON
	}
	at = skipSpace(raw, at+1)
	for empty := true; ; empty = false {
		if at >= len(raw) {
			return errNotJSON
		}
		if raw[at] == last && empty {
			break
		}
		end, err := part(at)
		if err != nil {
			return err
		}
		if at = skipSpace(raw, end); at >= len(raw) {
			return errNotJSON
		}
		if raw[at] == last {
			break
		}
		if raw[at] != ',' {
			return errNotJSON
		}
		at = skipSpace(raw, at+1)
	}
	if skipSpace(raw, at+1) != len(raw) {
		return errNotJSON
	}
	return nil
}

// skipSpace returns the position of the first byte from a position on that is no white space.
func skipSpace(raw []byte, at int) int {
	for at < len(raw) && (raw[at] == ' ' || raw[at] == '\n' || raw[at] == '\t' || raw[at] == '\r') {
		at++
	}
	return at
}

// valueEnd returns the end of the value that starts at a position. It checks only that strings
// end and that as many brackets close as open.
func valueEnd(raw []byte, at int) (int, error) {
	depth := 0
	for start := at; at < len(raw); {
		switch raw[at] {
		case '"':
			end, err := stringEnd(raw, at)
			if err != nil {
				return 0, err
			}
			at = end
		case '{', '[':
			depth++
			at++
			continue
		case '}', ']':
			if depth--; depth < 0 {
				return 0, errNotJSON
			}
			at++
		case ' ', '\n', '\t', '\r', ',', ':':
			if depth == 0 {
				return 0, errNotJSON
			}
			at++
			continue
		default:
			at = literalEnd(raw, at)
		}
		if depth == 0 && at > start {
			return at, nil
		}
	}
	return 0, errNotJSON
}

// stringEnd returns the end of the string that starts at a position.
func stringEnd(raw []byte, at int) (int, error) {
	for at++; at < len(raw); at++ {
		switch raw[at] {
		case '\\':
			at++
		case '"':
			return at + 1, nil
		}
	}
	return 0, errNotJSON
}

// literalEnd returns the end of the number or word that starts at a position.
func literalEnd(raw []byte, at int) int {
	for at++; at < len(raw); at++ {
		switch raw[at] {
		case ' ', '\n', '\t', '\r', ',', ':', '{', '}', '[', ']', '"':
			return at
		}
	}
	return at
}
