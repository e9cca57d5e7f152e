package rest

import (
	"bytes"
	"encoding/json"
	"net"
)

// Parts reads a JSON text that arrived in parts, value by value. It drops each part once it is
// read, so that the text and what was decoded from it don't take memory at the same time.
type Parts struct {
	Unread net.Buffers // the rest of the text; read parts are set to nil in place

	value []byte // text of the latest value
}

// Members calls visit with the name of each member of an object, in order. visit reads the
// value, by Value, Elements or Members. An error of visit ends the reading and is returned.
func (p *Parts) Members(visit func(name string) error) error {
	return p.list('{', '}', func() error {
		text, err := p.Value()
		if err != nil {
			return err
		}
		var name string
		if err := json.Unmarshal(text, &name); err != nil {
			return errNotJSON
		}
		if next, ok := p.next(); !ok || next != ':' {
			return errNotJSON
		}
		p.skip(1)
		return visit(name)
	})
}

// Elements calls visit for each element of an array, like Members. The text null has no
// elements.
func (p *Parts) Elements(visit func() error) error {
	if first, ok := p.next(); ok && first == 'n' {
		text, err := p.Value()
		if err == nil && string(text) != "null" {
			err = errNotJSON
		}
		return err
	}
	return p.list('[', ']', visit)
}

// End returns an error unless the text has been read to its end.
func (p *Parts) End() error {
	if _, ok := p.next(); ok {
		return errNotJSON
	}
	return nil
}

// list reads an object or array, and calls element at the start of each of its parts.
func (p *Parts) list(first, last byte, element func() error) error {
	if next, ok := p.next(); !ok || next != first {
		return errNotJSON
	}
	p.skip(1)
	if next, ok := p.next(); ok && next == last {
		p.skip(1)
		return nil
	}
	for {
		if err := element(); err != nil {
			return err
		}
		next, ok := p.next()
		if !ok || next != last && next != ',' {
			return errNotJSON
		}
		p.skip(1)
		if next == last {
			return nil
		}
	}
}

// Value returns the text of the next value, which is valid until the next call. It need not be
// valid JSON: only the ends of strings and the number of brackets are checked.
func (p *Parts) Value() (json.RawMessage, error) {
	p.value = p.value[:0]
	depth := 0
	for {
		next, ok := p.next()
		if !ok {
			return nil, errNotJSON
		}
		switch next {
		case '"':
			if !p.takeString() {
				return nil, errNotJSON
			}
		case '{', '[':
			depth++
			p.take(1)
		case '}', ']':
			if depth--; depth < 0 {
				return nil, errNotJSON
			}
			p.take(1)
		case ',', ':':
			if depth == 0 {
				return nil, errNotJSON
			}
			p.take(1)
		default:
			p.takeLiteral()
			if depth > 0 {
				p.value = append(p.value, ' ') // literals without a comma between them stay two
			}
		}
		if depth == 0 {
			return p.value, nil
		}
	}
}

// next returns the next byte that is no white space, or false at the end of the text.
func (p *Parts) next() (byte, bool) {
	for len(p.Unread) > 0 {
		part := p.Unread[0]
		if at := skipSpace(part, 0); at < len(part) {
			p.Unread[0] = part[at:]
			return part[at], true
		}
		p.dropPart()
	}
	return 0, false
}

// dropPart drops the first part.
func (p *Parts) dropPart() {
	p.Unread[0] = nil
	p.Unread = p.Unread[1:]
}

// skip drops n bytes of the first part.
func (p *Parts) skip(n int) { p.Unread[0] = p.Unread[0][n:] }

// take moves n bytes of the first part to the value.
func (p *Parts) take(n int) {
	p.value = append(p.value, p.Unread[0][:n]...)
	p.skip(n)
}

// takeString moves a string to the value. It returns false if the string doesn't end.
func (p *Parts) takeString() bool {
	p.take(1)
	escaped := false
	for ; len(p.Unread) > 0; p.dropPart() {
		for len(p.Unread[0]) > 0 {
			part := p.Unread[0]
			if escaped {
				p.take(1)
				escaped = false
				continue
			}
			end := bytes.IndexAny(part, `"\`)
			if end < 0 {
				p.take(len(part))
				break
			}
			p.take(end + 1)
			if part[end] == '"' {
				return true
			}
			escaped = true
		}
	}
	return false
}

// takeLiteral moves a number or word to the value.
func (p *Parts) takeLiteral() {
	for len(p.Unread) > 0 {
		part := p.Unread[0]
		end := bytes.IndexAny(part, " \n\t\r,:{}[]\"")
		if end >= 0 {
			p.take(end)
			return
		}
		p.take(len(part))
		p.dropPart()
	}
}
