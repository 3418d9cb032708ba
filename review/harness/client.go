package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client saw of the answer to a request.
type answer struct {
	id       string
	status   int
	signed   bool
	events   int   // complete events of a stream
	lastID   int   // of the last event
	complete bool  // the answer ended as complete
	err      error // why it isn't complete
	body     string
}

func (a answer) String() string {
	return fmt.Sprintf("%s: status %d, signed %v, %d events up to %d, complete %v, error %v", a.id, a.status, a.signed, a.events, a.lastID, a.complete, a.err)
}

// requestTo sends a request on a new connection and reads its answer.
func requestTo(address, path, id string, timeout time.Duration, header map[string]string) answer {
	a := answer{id: id}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	body := "request " + id
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s1 HTTP/1.1\r\nHost: %s\r\nGuavastack-Request-Id: %s\r\nGuavastack-Deadline-Ms: %d\r\n", path, hostname, id, timeout.Milliseconds())
	fmt.Fprintf(&b, "Authorization: Token %s\r\nContent-Length: %d\r\n", tenantKey, len(body))
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("\r\n" + body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		a.err = err
		return a
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.signed = res.StatusCode, res.Header.Get("Guavastack-Server-Seal") != ""
	data, err := io.ReadAll(res.Body)
	a.body, a.err, a.complete = string(data), err, err == nil
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		a.complete, a.err = false, errors.New("answer without a length")
	}
	for _, event := range strings.Split(a.body, "\n\n") {
		if text, ok := strings.CutPrefix(event, "id: "); ok {
			number, _, _ := strings.Cut(text, "\n")
			a.events++
			a.lastID, _ = strconv.Atoi(number)
		}
	}
	return a
}
