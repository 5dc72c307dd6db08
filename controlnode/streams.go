package controlnode

import (
	"context"
	"time"

	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

// requestTimeout limits the processing of a forwarded command.
const requestTimeout = 2 * time.Second

// serveStream serves one stream from another daemon.
func (n *Node) serveStream(_ transport.Class, stream *transport.Stream) {
	for {
		envelope, err := stream.Receive()
		if err != nil {
			return
		}
		switch body := envelope.GetBody().(type) {
		case *pb.Envelope_Quorum:
			n.replica.Receive(body.Quorum)
		case *pb.Envelope_FleetWatch:
			n.serveWatch(stream, body.FleetWatch)
			return
		case *pb.Envelope_ControlRequest:
			if n.handleRequest(stream, body.ControlRequest) != nil {
				return
			}
		default:
			return
		}
	}
}

// handleRequest proposes a command that another daemon forwarded, and sends the
// response.
func (n *Node) handleRequest(stream *transport.Stream, request *pb.ControlRequest) error {
	ctx, cancel := context.WithTimeout(n.ctx, requestTimeout)
	defer cancel()
	response := &pb.ControlResponse{}
	result, controlErr := n.replica.Propose(ctx, request.GetPropose())
	if controlErr != nil {
		response.Response = &pb.ControlResponse_Error{Error: controlErr}
	} else {
		response.Response = &pb.ControlResponse_Result{Result: result}
	}
	return stream.Send(&pb.Envelope{Body: &pb.Envelope_ControlResponse{ControlResponse: response}})
}
