package adminclient_test

import (
	"testing"

	"github.com/guavastack/guavastack/internal/adminclient"
	"github.com/guavastack/guavastack/internal/responsecheck/responsechecktest"
)

// checkMalformedFails checks that a read and a change fail if the control member answers with text.
func checkMalformedFails(t *testing.T, text string) {
	t.Helper()
	c := adminclient.New("http://"+responsechecktest.Serve(t, text), "token", nil)
	if got, err := c.Settings(t.Context(), ""); err == nil {
		t.Errorf("read: got %+v, want an error", got)
	}
	if got, err := c.PutSettings(t.Context(), "{}", adminclient.Options{}); err == nil {
		t.Errorf("change: got %+v, want an error", got)
	}
}

// TestInvalidStatusFails guards against a change that counts as done by an answer whose status means nothing, such as 000.
func TestInvalidStatusFails(t *testing.T) {
	for _, status := range responsechecktest.InvalidStatuses() {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			checkMalformedFails(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}")
		})
	}
}

// TestMalformedFieldFails guards against a change that counts as done by an answer that is not well-formed.
func TestMalformedFieldFails(t *testing.T) {
	for name, field := range responsechecktest.MalformedFields() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkMalformedFails(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+field+"\r\n\r\n{}")
		})
	}
}
