package entrynode

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/customers"
	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/replica"
	"github.com/briarcross/briarcross/routing"
	"github.com/briarcross/briarcross/transport"
)

const (
	// storageAttemptTimeout limits one attempt at one storage replica. It is longer
	// than maxPageWait.
	storageAttemptTimeout = 1500 * time.Millisecond
	// storageTimeout limits a request to the storage group with all its attempts.
	storageTimeout = 3 * time.Second
	// storageRetryAfter is the Retry-After time while the storage group has no
	// leader, about the duration of an election.
	storageRetryAfter = 700 * time.Millisecond
	// storageFullRetryAfter is the time after which jobs that are being accepted have been.
	storageFullRetryAfter = time.Second
	// maxJobBytes limits a job with its bodies. Storage replicates it as one command.
	maxJobBytes = replica.MaxCommandBytes - 64<<10
	// maxPageBytes limits the results in one response. The results of firstPageBytes are read
	// first, and more only if there are more.
	maxPageBytes   = 1 << 20
	firstPageBytes = 128 << 10
	// pageCost is the memory for a byte of the results in a response: as stored, as text, and in
	// JSON. itemCost is that for a byte of the body of an item.
	pageCost = 4
	itemCost = 2
	// maxItemReads limits the bodies of items that are being received from storage.
	maxItemReads = 8
	// maxPageWait limits the wait for a result; it is below storageAttemptTimeout.
	maxPageWait = time.Second
)

// Reasons of refusals of jobs.
const (
	reasonStorageFull    = "storage_full"
	reasonOutcomeUnknown = "storage_outcome_unknown"
	reasonJobTooLarge    = "job_too_large"
)

// JobAccess is the access of a request to a job that it names.
type JobAccess struct {
	id       string
	customer *customers.Customer
	// held is what the request holds.
	held *daemon.ClientRequest
	// storedIDs are the IDs under which storage may keep the job. Each that is not known
	// is followed by the next, for all requests alike.
	storedIDs []string
}

// AccessJob identifies the customer of a request that names a job. If it returns false, the
// response has already been written. A customer has access to its own jobs and to those
// without an owner, which were accepted before there were customers.
func (n *Node) AccessJob(w http.ResponseWriter, r *http.Request, id string) (JobAccess, bool) {
	table := n.Table()
	if table == nil {
		n.refuse(w, id, refusal{reason: "no_routing_table", retryAfter: firstTableRetryAfter})
		return JobAccess{}, false
	}
	customer, refused := n.authenticate(r, table, false)
	if refused != nil {
		n.refuseUnread(w, r, id, *refused)
		return JobAccess{}, false
	}
	if err := checkReadable("job ID", id); err != nil {
		n.refuse(w, id, refusal{reason: invalidID, status: http.StatusBadRequest, customer: nameOf(customer), routingVersion: table.Version, cause: err})
		return JobAccess{}, false
	}
	access := JobAccess{id: id, customer: customer, held: clientRequest(r)}
	if customer != nil {
		access.storedIDs = append(access.storedIDs, jobpages.StoredJobID(customer.Name, id))
	}
	access.storedIDs = append(access.storedIDs, jobpages.StoredJobID("", id))
	return access, true
}

// submit accepts a batch job. It acknowledges the job only after its replication.
func (n *Node) submit(w http.ResponseWriter, r *http.Request, headers RequestHeaders, route *routing.Route, table *routing.Table, customer *customers.Customer, body []byte) {
	arrivedAt := time.Now()
	// The key may have been revoked while the body was read.
	if current := n.Table(); current != table {
		if _, refused := n.authenticate(r, current, route.Public); refused != nil {
			refused.reason, refused.route, refused.customer = revokedKey, route.Name, nameOf(customer)
			n.refuse(w, headers.ID, *refused)
			return
		}
	}
	job, err := n.codec.ParseJob(body)
	if err == nil {
		err = job.check(headers.ID, r.URL.Path)
	}
	if err != nil {
		n.refuse(w, headers.ID, refusal{
			reason: "invalid_job", status: http.StatusBadRequest, route: route.Name, customer: nameOf(customer), routingVersion: table.Version, cause: err,
		})
		return
	}
	if limit := n.settings.JobItemLimit(); len(job.Items) > limit {
		n.refuse(w, headers.ID, refusal{
			reason: reasonJobTooLarge, status: http.StatusRequestEntityTooLarge, route: route.Name, customer: nameOf(customer), routingVersion: table.Version,
			cause: eris.Errorf("job has %d items, more than %d", len(job.Items), limit),
		})
		return
	}
	storedID := jobpages.StoredJobID(nameOf(customer), headers.ID)
	if !n.holdsItems(table, route, job.Items) {
		page, ok := n.ReadPage(w, JobAccess{id: headers.ID, customer: customer, held: clientRequest(r), storedIDs: []string{storedID}}, 0, 0)
		switch {
		case !ok:
			return
		case !page.GetKnown():
			n.refuse(w, headers.ID, refusal{
				reason: "item_too_large", status: http.StatusRequestEntityTooLarge, route: route.Name, customer: nameOf(customer), routingVersion: table.Version,
			})
			return
		}
		// The job was accepted under another routing table, and is acknowledged again.
	}
	submit := &pb.PageSubmit{
		JobId:    storedID,
		Host:     route.Host,
		Path:     r.URL.Path,
		DueMs:    uint64(route.JobDueAfter.Milliseconds()),
		KeepMs:   uint64(route.AbandonItemsAfter.Milliseconds()),
		RetainMs: uint64((route.AbandonItemsAfter + n.settings.JobRetention).Milliseconds()),
		Attempts: uint32(max(1, route.MaxAttempts)),

		RoutingVersion: table.Version,
		Customer:       nameOf(customer),
	}
	for _, item := range job.Items {
		submit.Items = append(submit.Items, n.encodeItem(item, table.Customers != nil))
	}
	if size := proto.Size(submit); size > maxJobBytes {
		n.refuse(w, headers.ID, refusal{
			reason: reasonJobTooLarge, status: http.StatusRequestEntityTooLarge, route: route.Name, customer: nameOf(customer), routingVersion: table.Version,
			cause: eris.Errorf("job has %d bytes, more than %d", size, maxJobBytes),
		})
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, min(storageTimeout, route.Timeout))
	defer cancel()
	_, controlErr := n.Storage.Propose(ctx, transport.Batch, &pb.Command{Op: &pb.Command_PageSubmit{PageSubmit: submit}})
	if controlErr != nil {
		full := &refusal{
			reason: reasonStorageFull, retryAfter: storageFullRetryAfter, route: route.Name, customer: nameOf(customer), routingVersion: table.Version,
			cause: eris.New(controlErr.GetReason()),
		}
		switch {
		case controlErr.GetCode() != pb.ControlError_FULL:
			n.refuseJob(w, headers.ID, nameOf(customer), "submit", controlErr)
		case !n.acceptAgain(w, headers.ID, customer, full):
			n.refuse(w, headers.ID, *full)
		}
		return
	}
	n.logger.Info(eventlog.JobAccepted, withCustomer(nameOf(customer), "job", headers.ID, "items", len(job.Items), "route", route.Name, "routing", table.Version,
		"elapsed_ms", time.Since(arrivedAt).Milliseconds())...)
	w.WriteHeader(http.StatusAccepted)
}

// holdsItems reports whether engines of a route hold each of the items of a job, as far as
// their memory is known.
func (n *Node) holdsItems(table *routing.Table, route *routing.Route, items []JobItem) bool {
	for _, item := range items {
		header := make(http.Header)
		for name, value := range item.Headers {
			header.Set(name, value)
		}
		if len(table.ServicesThatHold(route, n.codec.TokenCount(header))) == 0 {
			return false
		}
	}
	return true
}

// encodeItem encodes an item for storage. In a deployment with customers, storage keeps no
// credentials and no name of a customer that the caller made up.
func (n *Node) encodeItem(item JobItem, hasCustomers bool) *pb.PageItem {
	encoded := &pb.PageItem{Id: item.ID, Path: item.Path, Body: item.Body}
	for name, value := range item.Headers {
		if hasCustomers && n.codec.IdentifiesCustomer(name) {
			continue
		}
		encoded.Headers = append(encoded.Headers, &pb.HeaderField{Name: name, Value: value})
	}
	return encoded
}

// refuseJob responds to a job request that the storage group did not confirm. It
// reports storage_unavailable only if the request certainly changed nothing.
func (n *Node) refuseJob(w http.ResponseWriter, id, customer, operation string, controlErr *pb.ControlError) {
	n.logger.Warn(eventlog.JobRefused, withCustomer(customer, "job", id, "call", operation, "code", controlErr.GetCode().String(), "reason", controlErr.GetReason())...)
	f := refusal{reason: "storage_unavailable", retryAfter: storageRetryAfter, customer: customer}
	if controlErr.GetCode() == pb.ControlError_UNKNOWN {
		f = refusal{reason: reasonOutcomeUnknown, status: http.StatusGatewayTimeout, customer: customer}
	}
	n.refuse(w, id, f)
}

// EndJob ends a job and reports whether the job is known. If done is not set, the
// response has already been written.
func (n *Node) EndJob(w http.ResponseWriter, job JobAccess) (known, done bool) {
	for _, id := range job.storedIDs {
		if known, done = n.endStoredJob(w, job, id); known || !done {
			break
		}
	}
	if done {
		n.logger.Info(eventlog.JobEnded, withCustomer(nameOf(job.customer), "job", job.id, "known", known)...)
	}
	return known, done
}

func (n *Node) endStoredJob(w http.ResponseWriter, job JobAccess, storedID string) (known, done bool) {
	ctx, cancel := context.WithTimeout(n.ctx, storageTimeout)
	defer cancel()
	result, controlErr := n.Storage.Propose(ctx, transport.Batch, &pb.Command{Op: &pb.Command_PageEnd{PageEnd: &pb.PageEnd{JobId: storedID}}})
	if controlErr != nil {
		n.refuseJob(w, job.id, nameOf(job.customer), "end", controlErr)
		return false, false
	}
	return result.GetPage().GetKnown(), true
}

// acceptAgain acknowledges a job that was accepted before and cannot be read now. It returns false
// if the job is unknown, and if it is not certain that it is: the refusal promises nothing then.
func (n *Node) acceptAgain(w http.ResponseWriter, id string, customer *customers.Customer, f *refusal) bool {
	ctx, cancel := context.WithTimeout(n.ctx, storageAttemptTimeout)
	defer cancel()
	query := &pb.PageQuery{JobId: jobpages.StoredJobID(nameOf(customer), id), From: math.MaxUint32}
	result, controlErr := n.Storage.Query(ctx, &pb.Query{Query: &pb.Query_Page{Page: query}})
	switch {
	case controlErr != nil:
		f.cause = eris.Errorf("%s, and storage does not say whether it knows the job: %s", f.reason, controlErr.GetReason())
		f.reason, f.status, f.retryAfter = reasonOutcomeUnknown, http.StatusGatewayTimeout, 0
		return false
	case !result.GetPage().GetKnown():
		return false
	}
	n.logger.Info(eventlog.JobAccepted, withCustomer(nameOf(customer), "job", id, "reason", f.reason)...)
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusAccepted)
	return true
}

// ReadPage reads the results of a job from a position on, and waits for the next
// result if there is none. If it returns false, the response has already been
// written.
func (n *Node) ReadPage(w http.ResponseWriter, job JobAccess, from uint32, wait time.Duration) (page *pb.PageAnswer, ok bool) {
	if !n.holdForRead(w, job, firstPageBytes) {
		return nil, false
	}
	for _, id := range job.storedIDs {
		query := &pb.PageQuery{
			JobId: id, From: from, MaxBytes: firstPageBytes, WaitMs: uint32(min(wait, maxPageWait).Milliseconds()),
		}
		result, answered := n.queryStorage(w, job, "page", &pb.Query{Query: &pb.Query_Page{Page: query}})
		if !answered {
			return nil, false
		}
		if page = result.GetPage(); page.GetKnown() {
			return n.completePage(w, job, id, page)
		}
	}
	return page, true
}

// completePage adds further results to a page that is full, as far as there is memory for them.
func (n *Node) completePage(w http.ResponseWriter, job JobAccess, storedID string, page *pb.PageAnswer) (*pb.PageAnswer, bool) {
	size := resultBytes(page)
	if !n.holdForRead(w, job, max(0, pageCost*size-firstPageBytes)) {
		return nil, false
	}
	left := maxPageBytes - size
	if size < firstPageBytes/2 || left <= 0 || page.GetNext() >= page.GetItems() || job.held.Grow(int64(pageCost*left)) != nil {
		return page, true
	}
	ctx, cancel := context.WithTimeout(n.ctx, storageAttemptTimeout)
	defer cancel()
	query := &pb.PageQuery{JobId: storedID, From: page.GetNext(), MaxBytes: uint32(left)}
	// Without an answer, the caller gets what has been read, and asks for the rest.
	result, _ := n.Storage.Query(ctx, &pb.Query{Query: &pb.Query_Page{Page: query}})
	for _, entry := range result.GetPage().GetEntries() {
		if left -= proto.Size(entry); left < 0 {
			break
		}
		page.Entries = append(page.Entries, entry)
		page.Next++
	}
	return page, true
}

func resultBytes(page *pb.PageAnswer) int {
	size := 0
	for _, entry := range page.GetEntries() {
		size += proto.Size(entry)
	}
	return size
}

// holdForRead asks for the memory of a response. If it returns false, the response has already
// been written.
func (n *Node) holdForRead(w http.ResponseWriter, job JobAccess, bytes int) bool {
	if job.held.Grow(int64(bytes)) == nil {
		return true
	}
	n.refuse(w, job.id, refusal{reason: reasonMemoryFull, retryAfter: memoryRetryAfter, customer: nameOf(job.customer)})
	return false
}

// ReadItemBody reads the body of an item. If it returns false, the response has
// already been written.
func (n *Node) ReadItemBody(w http.ResponseWriter, job JobAccess, item string) (body *pb.PageBodyAnswer, ok bool) {
	if err := checkReadable("item ID", item); err != nil {
		n.refuse(w, job.id, refusal{reason: invalidID, status: http.StatusBadRequest, customer: nameOf(job.customer), cause: err})
		return nil, false
	}
	ctx, cancel := context.WithTimeout(n.ctx, storageTimeout)
	defer cancel()
	if n.itemReads.Acquire(ctx, 1) != nil {
		n.refuse(w, job.id, refusal{reason: reasonMemoryFull, retryAfter: memoryRetryAfter, customer: nameOf(job.customer)})
		return nil, false
	}
	defer n.itemReads.Release(1)
	for _, id := range job.storedIDs {
		query := &pb.PageBodyQuery{JobId: id, ItemId: item}
		result, answered := n.queryStorage(w, job, "body", &pb.Query{Query: &pb.Query_PageBody{PageBody: query}})
		if body, ok = result.GetPageBody(), answered; body.GetKnown() || !ok {
			break
		}
	}
	return body, ok && n.holdForRead(w, job, itemCost*len(body.GetBody()))
}

func (n *Node) queryStorage(w http.ResponseWriter, job JobAccess, operation string, query *pb.Query) (*pb.QueryResult, bool) {
	ctx, cancel := context.WithTimeout(n.ctx, storageTimeout)
	defer cancel()
	result, controlErr := n.Storage.Query(ctx, query)
	if controlErr != nil {
		// A read changes nothing, so it is always safe to retry.
		n.refuseJob(w, job.id, nameOf(job.customer), operation, &pb.ControlError{Code: pb.ControlError_OVERLOADED, Reason: controlErr.GetReason()})
		return nil, false
	}
	return result, true
}
