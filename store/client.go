package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"
)

// DefaultTimeout bounds one request. A reader polls each second, so a longer wait would delay the next poll noticeably.
const DefaultTimeout = 2 * time.Second

// maxIdleConns is the number of connections that a node keeps to the platform.
const maxIdleConns = 4

// Settings configures a Client.
type Settings struct {
	URL     string        // scheme, address and port, for example "http://127.0.0.1:7000"
	Timeout time.Duration // of one request; zero means DefaultTimeout
	// Transport carries the requests; nil means a transport with a few idle connections.
	Transport http.RoundTripper
}

// Client is the platform over HTTP. It implements Table and Objects and is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// NewClient returns a client of the platform at the URL.
func NewClient(s Settings) (*Client, error) {
	u, err := url.Parse(s.URL)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.RawQuery != "" {
		return nil, Refused.New("platform URL %q is not usable; write http://address:port", s.URL)
	}
	if s.Timeout == 0 {
		s.Timeout = DefaultTimeout
	}
	if s.Transport == nil {
		s.Transport = &http.Transport{
			MaxIdleConns:           maxIdleConns,
			MaxIdleConnsPerHost:    maxIdleConns,
			MaxConnsPerHost:        maxIdleConns,
			MaxResponseHeaderBytes: 16 << 10,
		}
	}
	u.Path = ""
	return &Client{base: u.String(), timeout: s.Timeout, http: &http.Client{
		Transport:     s.Transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}, nil
}

// Read implements Table.
func (c *Client) Read(ctx context.Context, keys []Key) ([]Row, error) {
	if err := checkKeys(keys); err != nil {
		return nil, err
	}
	data, err := c.query(ctx, ReadPath, ReadRequest{Keys: keys})
	if err != nil {
		return nil, err
	}
	rows, err := decodeRead(data, keys)
	if err != nil {
		return nil, Unavailable.New("read: %v; check the platform URL", err)
	}
	return rows, nil
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error) {
	if err := checkScan(limit); err != nil {
		return nil, err
	}
	request := ScanRequest{Prefix: prefix, After: after, Limit: limit}
	data, err := c.query(ctx, ScanPath, request)
	if err != nil {
		return nil, err
	}
	rows, err := decodeScan(data, request)
	if err != nil {
		return nil, Unavailable.New("scan: %v; check the platform URL", err)
	}
	return rows, nil
}

// Commit implements Table. An error that does not prove that nothing was applied is Indeterminate.
func (c *Client) Commit(ctx context.Context, t Transaction) error {
	if err := t.Check(); err != nil {
		return err
	}
	body, err := json.Marshal(t)
	if err != nil {
		return Refused.Wrap(err)
	}
	if len(body) > MaxBodyBytes {
		return Refused.New("the transaction has %d bytes; send at most %d", len(body), MaxBodyBytes)
	}
	status, _, err := c.do(ctx, http.MethodPost, CommitPath, body)
	return changeError(status, err)
}

// Get implements Objects.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	status, data, err := c.do(ctx, http.MethodGet, ObjectPath+url.PathEscape(name), nil)
	if err != nil {
		return nil, readError(err)
	}
	if status != http.StatusOK {
		return nil, Unavailable.New("status %d for object %q; check the platform URL", status, name)
	}
	return data, nil
}

// Put implements Objects.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	if len(data) > MaxBodyBytes {
		return Refused.New("object %q has %d bytes; send at most %d", name, len(data), MaxBodyBytes)
	}
	status, _, err := c.do(ctx, http.MethodPut, ObjectPath+url.PathEscape(name), data)
	return changeError(status, err)
}

// query sends a request that changes nothing.
func (c *Client) query(ctx context.Context, path string, request any) ([]byte, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, Refused.Wrap(err)
	}
	status, data, err := c.do(ctx, http.MethodPost, path, body)
	if err != nil {
		return nil, readError(err)
	}
	if status != http.StatusOK {
		return nil, Unavailable.New("status %d from %s; check the platform URL", status, path)
	}
	return data, nil
}

// do sends one request. The error is typed if the platform's response or the refused connection proves what happened.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (status int, data []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, Refused.Wrap(err)
	}
	// A body that cannot be rewound is never sent twice by the transport, so a commit is not repeated unseen.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, transportError(err)
	}
	defer response.Body.Close()
	data, err = io.ReadAll(io.LimitReader(response.Body, MaxBodyBytes+1))
	if err != nil {
		return 0, nil, err
	}
	if len(data) > MaxBodyBytes {
		return 0, nil, errors.New("the response is larger than 8 MiB")
	}
	if response.StatusCode != http.StatusOK {
		if typed := errorOf(response.StatusCode, data); typed != nil {
			return response.StatusCode, nil, typed
		}
	}
	return response.StatusCode, data, nil
}

// transportError types an error that proves that no connection was made, and so that nothing was applied.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Unavailable.New("%v; check the platform and its URL", err)
	}
	return err
}

// readError types the error of a request that changes nothing.
func readError(err error) error {
	if typed(err) {
		return err
	}
	return Unavailable.New("%v; the request can be sent again", err)
}

// changeError types the result of a request that may have changed something.
func changeError(status int, err error) error {
	switch {
	case err == nil && status == http.StatusOK:
		return nil
	case err == nil:
		return Indeterminate.New("status %d; read back what was written", status)
	case typed(err):
		return err
	}
	return Indeterminate.New("%v; read back what was written", err)
}

func typed(err error) bool {
	return ConditionFailed.Has(err) || Unavailable.Has(err) || Refused.Has(err) || NotFound.Has(err)
}
