package cli

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/pb"
)

const apiTimeout = 10 * time.Second

// api calls the operators' HTTP interface of a control replica.
type api struct {
	server string
	client fasthttp.Client
}

// get reads a message. Unknown fields of a newer server are passed over.
func (c *api) get(path string, into proto.Message) error {
	return c.do(fasthttp.MethodGet, path, nil, into)
}

// post sends a message and reads the answer. The returned status tells
// outcomes apart that carry the same kind of answer.
func (c *api) post(path string, body, into proto.Message) error {
	data, err := protojson.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	return c.do(fasthttp.MethodPost, path, data, into)
}

func (c *api) do(method, path string, body []byte, into proto.Message) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(c.server + path)
	request.SetBody(body)
	if err := c.client.DoTimeout(request, response, apiTimeout); err != nil {
		return &exitError{ExitUnknown, eris.Wrapf(err, "no answer from %s", c.server)}
	}
	return c.decode(response, into)
}

func (c *api) decode(response *fasthttp.Response, into proto.Message) error {
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	status := response.StatusCode()
	if status == fasthttp.StatusOK || status == fasthttp.StatusConflict {
		return eris.Wrap(options.Unmarshal(response.Body(), into), "decode answer")
	}
	failure := &pb.ControlError{}
	if options.Unmarshal(response.Body(), failure) == nil && failure.GetCode() != pb.ControlError_UNSPECIFIED {
		return controlFailure(failure)
	}
	if options.Unmarshal(response.Body(), into) == nil {
		return nil
	}
	return failf(ExitFailed, "%s answered status %d", c.server, status)
}

func controlFailure(failure *pb.ControlError) error {
	switch failure.GetCode() {
	case pb.ControlError_INVALID:
		return failf(ExitUsage, "%s", failure.GetReason())
	case pb.ControlError_UNKNOWN:
		return failf(ExitUnknown, "the change may have been carried out, repeat it: %s", failure.GetReason())
	default:
		return failf(ExitFailed, "not carried out: %s", failure.GetReason())
	}
}
