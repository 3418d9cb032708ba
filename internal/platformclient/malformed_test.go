package platformclient_test

import (
	"testing"

	"github.com/guavastack/guavastack/internal/platformclient"
	"github.com/guavastack/guavastack/internal/responsecheck/responsechecktest"
)

// checkMalformedFails checks that all calls fail if the platform answers with text.
func checkMalformedFails(t *testing.T, s *responsechecktest.Server, text string) {
	t.Helper()
	s.Answer(text)
	client := newClient(t, "http://"+s.Address)
	for name, call := range map[string]func() error{
		"order":          func() error { _, err := client.Order(t.Context(), startOrder("x", "a")); return err },
		"inventory":      func() error { _, err := client.Inventory(t.Context()); return err },
		"reported usage": func() error { _, err := client.ReportedUsage(t.Context(), 4); return err },
		"weights":        func() error { _, err := client.WeightStore(t.Context()); return err },
		"usage": func() error {
			return client.ReportUsage(t.Context(), platformclient.UsageReport{Sender: sender, Window: 4, Body: []byte("{}")})
		},
	} {
		if err := call(); err == nil {
			t.Errorf("%s: no error, want one", name)
		}
	}
}

// TestInvalidStatusFails guards against calls that count as done by an answer whose status means nothing, such as 000.
func TestInvalidStatusFails(t *testing.T) {
	s := responsechecktest.NewServer(t)
	for _, status := range responsechecktest.InvalidStatuses() {
		t.Run(status, func(t *testing.T) { checkMalformedFails(t, s, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}") })
	}
}

// TestMalformedFieldFails guards against calls that count as done by an answer that is not well-formed.
func TestMalformedFieldFails(t *testing.T) {
	s := responsechecktest.NewServer(t)
	for name, field := range responsechecktest.MalformedFields() {
		t.Run(name, func(t *testing.T) {
			checkMalformedFails(t, s, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+field+"\r\n\r\n{}")
		})
	}
}
