package service

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestArrivalsAreCountedPerBody(t *testing.T) {
	server := httptest.NewServer(New())
	defer server.Close()
	post := func(path, body string) (int, error) {
		resp, err := http.Post(server.URL+path, "application/json", strings.NewReader(body))
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, resp.Body.Close()
	}
	for _, body := range []string{"a", "a", "b"} {
		if code, err := post("/place", body); err != nil || code != http.StatusOK {
			t.Errorf("place an order: got status %d, error %v, want 200", code, err)
		}
	}
	if code, err := post("/faults", `{"kind":"close_after_reading","times":1}`); err != nil || code != http.StatusNoContent {
		t.Fatal(code, err)
	}
	if _, err := post("/place", "c"); err == nil {
		t.Error("got a reply despite the fault close_after_reading, want a closed connection")
	}
	resp, err := http.Get(server.URL + "/arrivals")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var got map[string]int
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	for body, want := range map[string]int{"a": 2, "b": 1, "c": 1} {
		sum := sha256.Sum256([]byte(body))
		if n := got[hex.EncodeToString(sum[:])]; n != want {
			t.Errorf("body %q arrived %d times, want %d", body, n, want)
		}
	}
}
