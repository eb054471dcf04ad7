package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// answer is what a client got.
type answer struct {
	id     string
	status int
	header http.Header
	body   []byte
	// err is set if there was no complete answer.
	err error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// ask sends one request of a client to a front machine on a new connection.
func (d *deployment) ask(front, method, path, key string, body []byte, header map[string]string) answer {
	a := answer{id: newID()}
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", front, portFront, path), bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = host
	request.Header.Set("X-Request-Id", a.id)
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("X-Deadline-Ms", "15000")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Timeout: 16 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	a.status, a.header = response.StatusCode, response.Header
	a.body, a.err = io.ReadAll(response.Body)
	return a
}

// askAs is ask for a GET with the kept connections of one client; sent is called before the request is sent.
func (d *deployment) askAs(front, path, key string, sent func(id string)) answer {
	a := answer{id: newID()}
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d%s", front, portFront, path), nil)
	if err != nil {
		a.err = err
		return a
	}
	request.Host = host
	request.Header.Set("X-Request-Id", a.id)
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("X-Deadline-Ms", "1500")
	sent(a.id)
	response, err := keptClient.Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	a.status, a.header = response.StatusCode, response.Header
	a.body, a.err = io.ReadAll(response.Body)
	return a
}

var keptClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}
