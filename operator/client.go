// Package operator calls the operators' HTTP interface of the control replicas.
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

// The paths of the operators' interface.
const (
	PathDocuments = "/api/v1/documents"
	PathChanges   = "/api/v1/changes"
	PathStatus    = "/api/v1/status"
	PathOrders    = "/api/v1/orders"
	PathJobs      = "/api/v1/jobs"
	PathUpstreams = "/api/v1/upstreams"
	PathHistory   = "/api/v1/history"
)

// The paths of a sidecar's interface.
const (
	PathDrain   = "/drain"
	PathUndrain = "/undrain"
)

// Credentials is how an operator proves who they are. The zero value is for plain
// HTTP on loopback.
type Credentials struct {
	// Token is an operator's bearer token; empty sends none.
	Token string
	// TLS holds the operator's certificate and the authority of the daemons.
	TLS *tls.Config
}

// Client calls one control replica.
type Client struct {
	baseURL    string
	token      string
	httpClient fasthttp.Client
}

// NewClient returns a client of the replica at a base URL.
func NewClient(baseURL string) *Client {
	return NewClientWithCredentials(baseURL, Credentials{})
}

// NewClientWithCredentials returns a client that proves who the operator is.
func NewClientWithCredentials(baseURL string, credentials Credentials) *Client {
	c := &Client{baseURL: strings.TrimSuffix(baseURL, "/"), token: credentials.Token}
	c.httpClient.TLSConfig = credentials.TLS
	return c
}

// FailureKind tells what a failed call means for the change that it carried.
type FailureKind int

// The kinds of failures.
const (
	// Invalid means that the request is wrong and was not carried out.
	Invalid FailureKind = iota + 1
	// NotDone means that the request was certainly not carried out.
	NotDone
	// OutcomeUnknown means that the request may have been carried out; repeat it.
	OutcomeUnknown
	// Conflict means that a change lost against another one.
	Conflict
)

// Failure is the error of a call.
type Failure struct {
	Kind   FailureKind
	Reason string
	// CurrentDocuments holds the documents that conflict, as they stand.
	CurrentDocuments []*pb.Document
	// SubmittedDocuments holds the documents of the change that lost.
	SubmittedDocuments []*pb.Document
}

// Error implements error.
func (f *Failure) Error() string {
	return f.Reason
}

func newFailure(kind FailureKind, format string, args ...any) error {
	return &Failure{Kind: kind, Reason: fmt.Sprintf(format, args...)}
}

// get reads a message. Unknown fields of a newer server are passed over.
func (c *Client) get(path string, result proto.Message) error {
	return c.do(fasthttp.MethodGet, path, nil, result)
}

// post sends a message and reads the answer. The returned status tells
// outcomes apart that carry the same kind of answer.
func (c *Client) post(path string, body, result proto.Message) error {
	data, err := protojson.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode request")
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
		return newFailure(OutcomeUnknown, "no answer from %s: %v", c.baseURL, err)
	case response.StatusCode() == fasthttp.StatusUnauthorized:
		return newFailure(Invalid, "%s does not accept this operator: set -token, or -tls-cert and -tls-key", c.baseURL)
	}
	return nil
}

// isDialError reports whether a request was never sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

func (c *Client) decode(response *fasthttp.Response, result proto.Message) error {
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	status := response.StatusCode()
	if status == fasthttp.StatusOK || status == fasthttp.StatusConflict {
		return eris.Wrap(options.Unmarshal(response.Body(), result), "decode answer")
	}
	controlErr := &pb.ControlError{}
	if options.Unmarshal(response.Body(), controlErr) == nil && controlErr.GetCode() != pb.ControlError_UNSPECIFIED {
		return failureOf(controlErr)
	}
	if options.Unmarshal(response.Body(), result) == nil {
		return nil
	}
	return newFailure(NotDone, "%s answered status %d", c.baseURL, status)
}

func failureOf(controlErr *pb.ControlError) error {
	switch controlErr.GetCode() {
	case pb.ControlError_INVALID:
		return newFailure(Invalid, "%s", controlErr.GetReason())
	case pb.ControlError_UNKNOWN:
		return newFailure(OutcomeUnknown, "the change may have been carried out, repeat it: %s", controlErr.GetReason())
	default:
		return newFailure(NotDone, "not carried out: %s", controlErr.GetReason())
	}
}

// Status returns the state of the control group and its daemons.
func (c *Client) Status() (*pb.StatusAnswer, error) {
	result := &pb.QueryResult{}
	if err := c.get(PathStatus, result); err != nil {
		return nil, err
	}
	return result.GetStatus(), nil
}

// Documents returns one document by its key, or all with an empty key.
func (c *Client) Documents(key string) (*pb.ConfigAnswer, error) {
	result := &pb.QueryResult{}
	if err := c.get(PathDocuments+"?name="+url.QueryEscape(key), result); err != nil {
		return nil, err
	}
	return result.GetConfig(), nil
}

// Upstreams returns what the control leader knows of the upstreams.
func (c *Client) Upstreams() ([]*pb.UpstreamReport, error) {
	result := &pb.QueryResult{}
	if err := c.get(PathUpstreams, result); err != nil {
		return nil, err
	}
	return result.GetUpstream().GetUpstreams(), nil
}

// IssueOrder has an order committed. The change ID makes a repeated call safe.
func (c *Client) IssueOrder(issue *pb.OrderIssue) (*pb.OrderResult, error) {
	result := &pb.OrderResult{}
	return result, c.post(PathOrders, issue, result)
}

// Orders returns the orders of one upstream.
func (c *Client) Orders(upstream string) (*pb.OrderAnswer, error) {
	result := &pb.QueryResult{}
	if err := c.get(PathOrders+"/"+url.PathEscape(upstream), result); err != nil {
		return nil, err
	}
	return result.GetOrder(), nil
}

// History returns accepted changes, latest first: at most limit records before
// a revision. Zero means the default limit, and the latest revision.
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

// PostToSidecar sends an empty request to a path of a sidecar.
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
		return newFailure(NotDone, "%s answered status %d", c.baseURL, response.StatusCode())
	}
	return nil
}
