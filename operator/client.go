// Package operator is a client of the HTTP API that the control replicas serve to
// operators.
package operator

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

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
	httpClient fasthttp.Client
}

// NewClient returns a client without credentials of the replica at a base URL.
func NewClient(baseURL string) *Client {
	return NewClientWithCredentials(baseURL, Credentials{})
}

// NewClientWithCredentials returns a client that authenticates with credentials.
func NewClientWithCredentials(baseURL string, credentials Credentials) *Client {
	c := &Client{baseURL: strings.TrimSuffix(baseURL, "/"), token: credentials.Token}
	c.httpClient.TLSConfig = credentials.TLS
	return c
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
	return c.do(fasthttp.MethodGet, path, nil, result)
}

// post sends a message in a POST request and decodes the response into result.
func (c *Client) post(path string, body, result proto.Message) error {
	data, err := protojson.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode request to control replica")
	}
	return c.do(fasthttp.MethodPost, path, data, result)
}

func (c *Client) do(method, path string, body []byte, result proto.Message) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(c.baseURL + path)
	request.SetBody(body)
	if err := c.send(request, response); err != nil {
		return err
	}
	return c.decode(response, result)
}

func (c *Client) send(request *fasthttp.Request, response *fasthttp.Response) error {
	if c.token != "" {
		request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	}
	err := c.httpClient.DoTimeout(request, response, requestTimeout)
	switch {
	case errors.Is(err, fasthttp.ErrDialTimeout), isDialError(err):
		return newFailure(NotDone, "cannot reach %s: %v", c.baseURL, err)
	case err != nil:
		return newFailure(OutcomeUnknown, "no response from %s: %v", c.baseURL, err)
	case response.StatusCode() == fasthttp.StatusUnauthorized:
		return newFailure(Invalid, "%s does not accept this operator: set -token, or -tls-cert and -tls-key", c.baseURL)
	}
	return nil
}

// isDialError reports whether connecting failed, so that no request was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// decode decodes a response into result, or returns the error that it reports.
// Unknown fields, which a newer server may send, are ignored.
func (c *Client) decode(response *fasthttp.Response, result proto.Message) error {
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	status := response.StatusCode()
	if status == fasthttp.StatusOK || status == fasthttp.StatusConflict {
		return eris.Wrap(options.Unmarshal(response.Body(), result), "decode response of control replica")
	}
	controlErr := &pb.ControlError{}
	if options.Unmarshal(response.Body(), controlErr) == nil && controlErr.GetCode() != pb.ControlError_UNSPECIFIED {
		return failureOf(controlErr)
	}
	if options.Unmarshal(response.Body(), result) == nil {
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
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(c.baseURL + path)
	if err := c.send(request, response); err != nil {
		return err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return newFailure(NotDone, "%s responded with status %d", c.baseURL, response.StatusCode())
	}
	return nil
}
