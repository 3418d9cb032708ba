package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// This file holds the names on the wire of the users' platform: paths, headers and documents.

const (
	pathReplace   = "/Config.Replace"
	pathGet       = "/Config.Get"
	pathHeartbeat = "/Instances.Heartbeat/"
	pathHealth    = "/health"

	headerID       = "Guavastack-Request-Id"
	headerDeadline = "Guavastack-Deadline-Ms"
	headerSeal     = "Guavastack-Server-Seal"
	headerServer   = "Guavastack-Instance-Id"
)

const (
	serviceName = "orders"
	hostname    = "soak.example"
	basePath    = "/reserve/"
	baseKey     = "k7n2ctnfzs989anu6wsj"
	// callTimeout is how long callers wait for an answer.
	callTimeout = time.Second
	// routeTimeout is the time-out of all routes.
	routeTimeout = 4 * time.Second
	maxAnswer    = 1 << 20
)

// document is a configuration as the operator sends it.
type document struct {
	Version  int             `json:"version"`
	Routes   []routeEntry    `json:"routes"`
	Services []serviceEntry  `json:"services"`
	Limits   map[string]int  `json:"limits"`
	Tenants  []customerEntry `json:"tenants"`
}

type routeEntry struct {
	Name        string `json:"name"`
	Hostname    string `json:"hostname"`
	PathPrefix  string `json:"pathPrefix"`
	Kind        string `json:"kind"`
	TimeoutMS   int64  `json:"timeoutMs"`
	TargetMS    int    `json:"targetLatencyMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
}

type serviceEntry struct {
	Name           string `json:"name"`
	HealthPath     string `json:"healthPath"`
	MaxConnections int    `json:"maxConnections"`
	Protocol       string `json:"protocol"`
}

type customerEntry struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	Priority int      `json:"priority"`
}

// newDocument returns the configuration of a version: the route and the key that all versions have, and one of each of its own.
func newDocument(version int) document {
	return document{
		Version:  version,
		Routes:   []routeEntry{newRoute("base", basePath), newRoute(fmt.Sprintf("added-%d", version), versionPath(version))},
		Services: []serviceEntry{{Name: serviceName, HealthPath: pathHealth, MaxConnections: 120, Protocol: "h1"}},
		Limits:   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		Tenants:  []customerEntry{{Name: "shop", APIKeys: []string{baseKey, versionKey(version)}, Priority: 1}},
	}
}

func newRoute(name, path string) routeEntry {
	return routeEntry{
		Name: name, Hostname: hostname, PathPrefix: path, Kind: "unsafe", TimeoutMS: routeTimeout.Milliseconds(), TargetMS: 300,
		Priority: 1, Service: serviceName, MaxAttempts: 1,
	}
}

func versionPath(version int) string { return fmt.Sprintf("/added-%d/", version) }
func versionKey(version int) string  { return fmt.Sprintf("k4anfqasnmgkcuyj%04d", version) }

var controlClient = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// callControl makes one call to a machine that serves the operator. It follows redirections.
func callControl(method, address, path string, body []byte) (status int, data []byte, err error) {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := controlClient.Do(req)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	defer func() { _ = res.Body.Close() }()
	data, err = io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	return res.StatusCode, data, errors.Trace(err)
}

// sendRequest sends a request on a new connection and returns the status of its answer, or 0 without a complete one. A success
// without the backend server's whole body is an error.
func sendRequest(address, path, key, id string) (status int, err error) {
	conn, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(routeTimeout))
	_, err = fmt.Fprintf(conn, "POST %s1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Token %s\r\nContent-Length: 0\r\n\r\n",
		path, hostname, headerID, id, headerDeadline, routeTimeout.Milliseconds(), key)
	if err != nil {
		return 0, errors.Trace(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return 0, errors.Trace(err)
	}
	if res.StatusCode == http.StatusOK && (res.Header.Get(headerSeal) == "" || string(body) != answerTo(id)) {
		return res.StatusCode, errors.Errorf("success with body %q", body)
	}
	return res.StatusCode, nil
}

func answerTo(id string) string { return "done " + id }

// backendHandler answers the requests of a backend server and calls ran for each that it runs.
func backendHandler(server string, ran func(id string)) http.Handler {
	var seals atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if strings.HasPrefix(r.URL.Path, pathHealth) {
			w.Header().Set(headerServer, server)
			return
		}
		id := r.Header.Get(headerID)
		ran(id)
		w.Header().Set(headerID, id)
		w.Header().Set(headerSeal, fmt.Sprintf("seal.%s.%d", server, seals.Add(1)))
		_, _ = io.WriteString(w, answerTo(id))
	})
}

// heartbeat returns the body of a backend server's heartbeat.
func heartbeat(address, zone string, sequence int, born time.Time) ([]byte, error) {
	return json.Marshal(map[string]any{
		"service": serviceName, "address": address, "zone": zone, "version": "v1", "slots": 32, "state": "ready",
		"coldRemainingMs": 0, "sequence": sequence, "born": born.UnixMilli(),
	})
}
