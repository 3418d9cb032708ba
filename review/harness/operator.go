package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// callTimeout is how long callers of the control interface wait for a response.
const callTimeout = time.Second

// controlClient calls the interface of the control machines.
var controlClient = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// configuration is the operator's configuration.
type configuration struct {
	Version  int            `json:"version"`
	Routes   []routeEntry   `json:"routes"`
	Services []serviceEntry `json:"services"`
	Limits   limitsEntry    `json:"limits"`
	Tenants  []tenantEntry  `json:"tenants"`
}

type routeEntry struct {
	Name            string `json:"name"`
	Hostname        string `json:"hostname"`
	PathPrefix      string `json:"pathPrefix"`
	Kind            string `json:"kind"`
	TimeoutMS       int    `json:"timeoutMs"`
	TargetLatencyMS int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
	Public          bool   `json:"public"`
	Sticky          bool   `json:"sticky"`
	StreamResume    bool   `json:"streamResume"`
	GapTargetMS     int    `json:"gapTargetMs,omitempty"`
}

type serviceEntry struct {
	Name           string       `json:"name"`
	HealthPath     string       `json:"healthPath"`
	MaxConnections int          `json:"maxConnections"`
	Protocol       string       `json:"protocol"`
	TLS            bool         `json:"tls"`
	Engine         *engineEntry `json:"engine,omitempty"`
}

type engineEntry struct {
	Slots        int  `json:"slots"`
	KVCapacity   int  `json:"kvCapacity"`
	KVTokenBytes int  `json:"kvTokenBytes"`
	LinkMbps     int  `json:"linkMbps"`
	Moves        bool `json:"moves"`
	Backups      bool `json:"backups"`
	HandleS      int  `json:"handleS"`
}

type limitsEntry struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMS int `json:"headerTimeoutMs"`
	IdleTimeoutMS   int `json:"idleTimeoutMs"`
}

type tenantEntry struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	Priority int      `json:"priority"`
}

// The names in the configuration of all cases.
const (
	hostname    = "review.example"
	streamPath  = "/stream/"
	unsafePath  = "/reserve/"
	modelName   = "assistant"
	plainName   = "orders"
	tenantKey   = "k7n2ctnfzs989anu6wsj"
	tenantName  = "shop"
	healthPath  = "/health"
	streamLimit = 15 * time.Second
)

// newConfiguration returns a configuration with one model service and one plain service.
func newConfiguration(version int) configuration {
	return configuration{
		Version: version,
		Routes: []routeEntry{
			{
				Name: "stream", Hostname: hostname, PathPrefix: streamPath, Kind: "streaming", TimeoutMS: int(streamLimit.Milliseconds()),
				TargetLatencyMS: 500, Priority: 1, Service: modelName, MaxAttempts: 2, Sticky: true, GapTargetMS: 500,
			},
			{
				Name: "reserve", Hostname: hostname, PathPrefix: unsafePath, Kind: "unsafe", TimeoutMS: 4000, TargetLatencyMS: 300,
				Priority: 2, Service: plainName, MaxAttempts: 1,
			},
		},
		Services: []serviceEntry{
			{
				Name: modelName, HealthPath: healthPath, MaxConnections: 320, Protocol: "h1",
				Engine: &engineEntry{Slots: 48, KVCapacity: 350000, KVTokenBytes: 192512, LinkMbps: 1500000, Moves: true, Backups: true, HandleS: 5},
			},
			{Name: plainName, HealthPath: healthPath, MaxConnections: 120, Protocol: "h1"},
		},
		Limits:  limitsEntry{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants: []tenantEntry{{Name: tenantName, APIKeys: []string{tenantKey}, Priority: 1}},
	}
}

// replace sends a configuration to one control machine after another until one acknowledges it.
func (s *system) replace(c configuration, limit time.Duration, machines ...*machine) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, m := range machines {
			status, _, err := callControl(http.MethodPost, s.operatorAddress(m), "/Config.Replace", body)
			if err == nil && status == http.StatusOK {
				s.rec.printf("operator: version %d acknowledged by %s", c.Version, m.name)
				return nil
			}
			last = fmt.Sprintf("%s: status %d, error %v", m.name, status, err)
		}
	}
	s.rec.printf("operator: version %d not acknowledged within %v; last: %s", c.Version, limit, last)
	return fmt.Errorf("configuration not acknowledged: %s", last)
}

// readBack asks one machine for the configuration and returns its version, or 0 if it isn't answered with one.
func (s *system) readBack(m *machine) (version, status int) {
	status, data, err := callControl(http.MethodGet, s.operatorAddress(m), "/Config.Get", nil)
	if err != nil || status != http.StatusOK {
		return 0, status
	}
	var c configuration
	if json.Unmarshal(data, &c) != nil {
		return 0, status
	}
	return c.Version, status
}

// callControl makes one call to a control machine. net/http follows redirections.
func callControl(method, address, path string, body []byte) (status int, data []byte, err error) {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := controlClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	data, err = io.ReadAll(res.Body)
	return res.StatusCode, data, err
}
