// Package clients_test connects clients without limits to separate processes of the system: they send too much, send without end, or stop
// just short of the end and keep their connection open.
//
// The tests check only what does not depend on the speed of the machine: the process lives, its memory and its descriptors stay below a
// bound, and an ordinary request is answered afterwards. They run one at a time.
package clients_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// memoryLimitMB is the memory limit in the settings of the processes, and the bound on their resident memory.
	memoryLimitMB = 64
	// maxHeadBytes and maxBodyBytes are the limits of the catalog.
	maxHeadBytes = 16 << 10
	maxBodyBytes = 1 << 20
	// missingBytes is how far from its end a body stops.
	missingBytes = 16 << 10
)

// descriptors is a limit of a process and the bound that its open descriptors must not exceed.
type descriptors struct{ limit, bound int }

var (
	// manyDescriptors lets all clients connect.
	manyDescriptors = descriptors{limit: 1024, bound: 512}
	// fewDescriptors are fewer than the clients. The bound leaves some for the process's own connections.
	fewDescriptors = descriptors{limit: 192, bound: 176}
)

// clientGroup is a number of clients that all send the same.
type clientGroup struct {
	name        string
	clients     int
	descriptors descriptors
	send        func(w io.Writer) error // returns when all is sent or the connection has ended
}

// gatewayClientGroups are the client groups that connect to a gateway.
func gatewayClientGroups() []clientGroup {
	return []clientGroup{
		{"heads over the limit", 256, fewDescriptors, sendAll(requestHead("POST", gatewayPath), bytes.Repeat([]byte("X-Fill: "+strings.Repeat("x", 1000)+"\r\n"), 512))},
		{"heads without end", 256, fewDescriptors, sendEndless(requestHead("POST", gatewayPath), []byte("X-Fill: "+strings.Repeat("x", 1000)+"\r\n"))},
		{"heads that stop short of the limit", 256, fewDescriptors, sendAll(requestHead("POST", gatewayPath), bytes.Repeat([]byte("X: y\r\n"), maxHeadBytes/6-200))},
		{"empty lines without end", 256, fewDescriptors, sendEndless(nil, bytes.Repeat([]byte("\r\n"), 512))},
		{"connections without a request", 256, fewDescriptors, sendAll()},
		{"whole bodies", 128, manyDescriptors, sendAll(lengthHead(gatewayPath, maxBodyBytes), make([]byte, maxBodyBytes))},
		{"bodies that stop short", 128, manyDescriptors, sendAll(lengthHead(gatewayPath, maxBodyBytes), make([]byte, maxBodyBytes-missingBytes))},
		{"bodies in pieces that stop short", 128, manyDescriptors, sendPieces(lengthHead(gatewayPath, maxBodyBytes), maxBodyBytes-missingBytes)},
		{"announced bodies of which little arrives", 128, manyDescriptors, sendAll(lengthHead(gatewayPath, maxBodyBytes), make([]byte, 1))},
		{"large chunks that stop short", 128, manyDescriptors, sendAll(chunkedHead(gatewayPath), chunks(maxBodyBytes-missingBytes, 64<<10))},
		{"one-byte chunks that stop short", 128, manyDescriptors, sendAll(chunkedHead(gatewayPath), chunks(maxBodyBytes-missingBytes, 1))},
	}
}

// TestGatewayStaysWithinLimits guards against a gateway that exceeds its memory limit or has no descriptors left because of what clients
// with a valid key send.
func TestGatewayStaysWithinLimits(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for _, c := range gatewayClientGroups() {
		t.Run(c.name, func(t *testing.T) {
			s := newSystem(t, maxBodyBytes, memoryLimitMB, c.descriptors)
			s.connectClients(s.gateway, s.gatewayAddress, c)
			s.expectAnswer(lengthHead(gatewayPath, 5), []byte("order"))
		})
	}
}

// operatorBodyBytes is the size of the bodies that clients announce to a control member, whose own limit is 8 MiB.
const operatorBodyBytes = 4 << 20

// operatorClientGroups are the client groups that connect to the address of a control member for operators and backend servers.
func operatorClientGroups() []clientGroup {
	const path = "/Config.Replace"
	return []clientGroup{
		{"connections without a request", 256, fewDescriptors, sendAll()},
		{"heads without end", 256, fewDescriptors, sendEndless(requestHead("POST", path), []byte("X-Fill: "+strings.Repeat("x", 1000)+"\r\n"))},
		{"bodies that stop short", 48, manyDescriptors, sendAll(lengthHead(path, operatorBodyBytes), make([]byte, operatorBodyBytes-missingBytes))},
		{"large chunks that stop short", 48, manyDescriptors, sendAll(chunkedHead(path), chunks(operatorBodyBytes-missingBytes, 64<<10))},
	}
}

// TestControlMemberStaysWithinLimits guards against a control member that exceeds its memory limit or has no descriptors left because of
// what clients send to its address for operators.
func TestControlMemberStaysWithinLimits(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for _, c := range operatorClientGroups() {
		t.Run(c.name, func(t *testing.T) {
			s := newSystem(t, maxBodyBytes, memoryLimitMB, c.descriptors)
			s.connectClients(s.control, s.operatorAddress, c)
			s.version++
			s.await("a configuration after the clients", s.replaceConfiguration)
		})
	}
}

// TestLargestBodyIsServed guards against limits on memory that refuse an ordinary request of the largest size while nothing else goes on.
func TestLargestBodyIsServed(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const largest, smallestMemoryMB = 4 << 20, 112
	s := newSystem(t, largest, smallestMemoryMB, manyDescriptors)
	for _, tc := range []struct {
		name       string
		head, body []byte
	}{
		{"with a length", lengthHead(gatewayPath, largest), make([]byte, largest)},
		{"in large chunks", chunkedHead(gatewayPath), append(chunks(largest, 64<<10), "0\r\n\r\n"...)},
		{"in small chunks", chunkedHead(gatewayPath), append(chunks(largest, 16), "0\r\n\r\n"...)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if status, err := s.request(tc.head, tc.body); status != http.StatusOK {
				t.Errorf("got status %d, error %v, want 200", status, err)
			}
		})
	}
}

// requestHead returns the beginning of a head with a valid key.
func requestHead(method, path string) []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: r-%d\r\n%s: 10000\r\nAuthorization: Token %s\r\n",
		method, path, hostname, headerID, time.Now().UnixNano(), headerDeadline, key)
}

func lengthHead(path string, n int) []byte {
	return fmt.Appendf(requestHead("POST", path), "Content-Length: %d\r\n\r\n", n)
}

func chunkedHead(path string) []byte {
	return append(requestHead("POST", path), "Transfer-Encoding: chunked\r\n\r\n"...)
}

// chunks returns n bytes in chunks of the given size, without the last, empty chunk.
func chunks(n, size int) []byte {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, strings.Repeat("x", size))
	return bytes.Repeat(chunk, n/size)
}

// sendAll returns a function that sends the parts.
func sendAll(parts ...[]byte) func(io.Writer) error {
	return func(w io.Writer) error {
		for _, part := range parts {
			if _, err := w.Write(part); err != nil {
				return err
			}
		}
		return nil
	}
}

// sendEndless returns a function that sends a beginning, and then lines until the connection ends or maxSentBytes are sent.
func sendEndless(begin, lines []byte) func(io.Writer) error {
	const maxSentBytes = 8 << 20
	return func(w io.Writer) error {
		_, err := w.Write(begin)
		for sent := 0; sent < maxSentBytes && err == nil; sent += len(lines) {
			_, err = w.Write(lines)
		}
		return err
	}
}

// sendPieces returns a function that sends a head and n bytes of a body in pieces.
func sendPieces(head []byte, n int) func(io.Writer) error {
	const pieceBytes, pause = 64 << 10, 10 * time.Millisecond
	return func(w io.Writer) error {
		_, err := w.Write(head)
		for sent := 0; sent < n && err == nil; sent += pieceBytes {
			time.Sleep(pause)
			_, err = w.Write(make([]byte, min(pieceBytes, n-sent)))
		}
		return err
	}
}
