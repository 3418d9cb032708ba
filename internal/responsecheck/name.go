package responsecheck

import "net/http"

// isNameByte tells which bytes the name of a field may contain (RFC 9110, section 5.6.2).
var isNameByte = nameBytes()

func nameBytes() (valid [256]bool) {
	const marks = "!#$%&'*+-.^_`|~"
	for i := range len(marks) {
		valid[marks[i]] = true
	}
	for c := '0'; c <= '9'; c++ {
		valid[c] = true
	}
	for c := 'a'; c <= 'z'; c++ {
		valid[c] = true
	}
	for c := 'A'; c <= 'Z'; c++ {
		valid[c] = true
	}
	return valid
}

// hasValidNames reports whether the names of all fields are valid.
func hasValidNames(h http.Header) bool {
	for name := range h {
		for i := range len(name) {
			if !isNameByte[name[i]] {
				return false
			}
		}
	}
	return true
}
