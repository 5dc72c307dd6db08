// Package operator is a client of the HTTP API that the control replicas serve to
// operators.
package operator

import (
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/internal/answer"
	"github.com/briarcross/briarcross/pb"
)

const requestTimeout = 10 * time.Second

// Paths of the operator API.
const (
	PathDocuments = "/api/v1/documents"
	PathChanges   = "/api/v1/changes"
	PathStatus    = "/api/v1/status"
	PathOrders    = "/api/v1/orders"
	PathJobs      = "/api/v1/jobs"
	PathUpstreams = "/api/v1/upstreams"
	PathHistory   = "/api/v1/history"
)

// Paths of the sidecar API.
const (
	PathDrain   = "/drain"
	PathUndrain = "/undrain"
)

// Credentials authenticate an operator. The zero value is for unencrypted HTTP on
// the loopback interface.
type Credentials struct {
	// Token is an operator's bearer token; empty sends none.
	Token string
	// TLS holds the operator's certificate and the certificate authority of the
	// daemons.
	TLS *tls.Config
}

// Client calls one control replica, or one sidecar.
type Client struct {
	baseURL    string
	token      string
	httpClient http.Client
}

// NewClient returns a client without credentials of the replica at a base URL.
func NewClient(baseURL string) *Client {
	return NewClientWithCredentials(baseURL, Credentials{})
}

// NewClientWithCredentials returns a client that authenticates with credentials.
func NewClientWithCredentials(baseURL string, credentials Credentials) *Client {
	transport := &http.Transport{TLSClientConfig: credentials.TLS, DisableCompression: true}
	return &Client{
		baseURL: strings.TrimSuffix(baseURL, "/"), token: credentials.Token,
		httpClient: http.Client{Transport: transport, Timeout: requestTimeout, CheckRedirect: answer.RefuseRedirect},
	}
}

// FailureKind tells whether the request of a failed call was carried out.
type FailureKind int

// Kinds of failures.
const (
	// Invalid means that the request was rejected and not carried out; it must be
	// corrected.
	Invalid FailureKind = iota + 1
	// NotDone means that the request was certainly not carried out.
	NotDone
	// OutcomeUnknown means that the request may have been carried out; repeat
	// the call to learn its outcome.
	OutcomeUnknown
	// Conflict means that a change was rejected because a document was changed
	// since the revision that it edits.
	Conflict
)

// Failure is the error of a failed call.
type Failure struct {
	Kind   FailureKind
	Reason string
	// CurrentDocuments holds the current versions of the conflicting documents,
	// for Conflict only.
	CurrentDocuments []*pb.Document
	// SubmittedDocuments holds the documents of the rejected change, for
	// Conflict only.
	SubmittedDocuments []*pb.Document
}

// Error implements error.
func (f *Failure) Error() string {
	return f.Reason
}

func newFailure(kind FailureKind, format string, args ...any) error {
	return &Failure{Kind: kind, Reason: fmt.Sprintf(format, args...)}
}

// get decodes the response to a GET request into result.
func (c *Client) get(path string, result proto.Message) error {
	return c.do(http.MethodGet, path, nil, result)
}

// post sends a message in a POST request and decodes the response into result.
func (c *Client) post(path string, body, result proto.Message) error {
	data, err := protojson.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode request to control replica")
	}
	return c.do(http.MethodPost, path, data, result)
}

func (c *Client) do(method, path string, body []byte, result proto.Message) error {
	status, received, err := c.send(method, path, body)
	if err != nil {
		return err
	}
	return c.decode(status, received, result)
}

// send sends a request and returns the status and the whole body of its response.
func (c *Client) send(method, path string, body []byte) (status int, received []byte, err error) {
	request, err := http.NewRequest(method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, eris.Wrap(err, "request to control replica")
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.httpClient.Do(request)
	switch {
	case isDialError(err):
		return 0, nil, newFailure(NotDone, "cannot reach %s: %v", c.baseURL, err)
	case err != nil:
		return 0, nil, newFailure(OutcomeUnknown, "no response from %s: %v", c.baseURL, err)
	}
	defer func() { _ = response.Body.Close() }()
	received, err = io.ReadAll(response.Body)
	switch {
	case !answer.IsStatus(response.StatusCode):
		return 0, nil, newFailure(OutcomeUnknown, "%s responded with status %s, which is none", c.baseURL, response.Status)
	case err != nil:
		return 0, nil, newFailure(OutcomeUnknown, "response from %s ended early: %v", c.baseURL, err)
	case response.StatusCode == http.StatusUnauthorized:
		return 0, nil, newFailure(Invalid, "%s does not accept this operator: set -token, or -tls-cert and -tls-key", c.baseURL)
	}
	return response.StatusCode, received, nil
}

// isDialError reports whether connecting failed, so that no request was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// decode decodes a response into result, or returns the error that it reports.
// Unknown fields, which a newer server may send, are ignored.
func (c *Client) decode(status int, body []byte, result proto.Message) error {
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	if status == http.StatusOK || status == http.StatusConflict {
		return eris.Wrap(options.Unmarshal(body, result), "decode response of control replica")
	}
	controlErr := &pb.ControlError{}
	if options.Unmarshal(body, controlErr) == nil && controlErr.GetCode() != pb.ControlError_UNSPECIFIED {
		return failureOf(controlErr)
	}
	if options.Unmarshal(body, result) == nil {
		return nil
	}
	return newFailure(NotDone, "%s responded with status %d", c.baseURL, status)
}

func failureOf(controlErr *pb.ControlError) error {
	switch controlErr.GetCode() {
	case pb.ControlError_INVALID:
		return newFailure(Invalid, "%s", controlErr.GetReason())
	case pb.ControlError_UNKNOWN:
		return newFailure(OutcomeUnknown, "the request may have been carried out, repeat it to learn its outcome: %s", controlErr.GetReason())
	default:
		return newFailure(NotDone, "the request was not carried out: %s", controlErr.GetReason())
	}
}

// Status returns the state of the control replicas and of the daemons.
func (c *Client) Status() (*pb.StatusAnswer, error) {
	result := &pb.QueryResult{}
	if err := c.get(PathStatus, result); err != nil {
		return nil, err
	}
	return result.GetStatus(), nil
}

// Documents returns the document with a key, or all documents if key is empty.
func (c *Client) Documents(key string) (*pb.ConfigAnswer, error) {
	result := &pb.QueryResult{}
	if err := c.get(PathDocuments+"?name="+url.QueryEscape(key), result); err != nil {
		return nil, err
	}
	return result.GetConfig(), nil
}

// Upstreams returns the latest report about each upstream that the control leader
// has.
func (c *Client) Upstreams() ([]*pb.UpstreamReport, error) {
	result := &pb.QueryResult{}
	if err := c.get(PathUpstreams, result); err != nil {
		return nil, err
	}
	return result.GetUpstream().GetUpstreams(), nil
}

// IssueOrder commits an order. A repeated call with the same change ID issues the
// order once.
func (c *Client) IssueOrder(issue *pb.OrderIssue) (*pb.OrderResult, error) {
	result := &pb.OrderResult{}
	return result, c.post(PathOrders, issue, result)
}

// Orders returns the orders that were issued to an upstream.
func (c *Client) Orders(upstream string) (*pb.OrderAnswer, error) {
	result := &pb.QueryResult{}
	if err := c.get(PathOrders+"/"+url.PathEscape(upstream), result); err != nil {
		return nil, err
	}
	return result.GetOrder(), nil
}

// History returns at most limit accepted changes with revisions below before,
// latest first. A zero limit means the default of the server, a zero before
// starts at the latest revision.
func (c *Client) History(before uint64, limit uint32) ([]*pb.ConfigRecord, error) {
	query := url.Values{}
	query.Set("before", strconv.FormatUint(before, 10))
	query.Set("limit", strconv.FormatUint(uint64(limit), 10))
	result := &pb.QueryResult{}
	if err := c.get(PathHistory+"?"+query.Encode(), result); err != nil {
		return nil, err
	}
	return result.GetHistory().GetRecords(), nil
}

// PostToSidecar sends a POST request without a body to a path of the sidecar API.
func (c *Client) PostToSidecar(path string) error {
	status, _, err := c.send(http.MethodPost, path, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return newFailure(NotDone, "%s responded with status %d", c.baseURL, status)
	}
	return nil
}
