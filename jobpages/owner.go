package jobpages

import (
	"strings"

	"github.com/briarcross/briarcross/pb"
)

// ownedJobMark begins the stored IDs of jobs with an owner. Neither the name of a customer
// nor an ID in the header of a request can hold it, so that no two pairs of an owner and an
// ID, and no ID of a job without an owner, give the same stored ID.
const ownedJobMark = "\x00"

// StoredJobID returns the ID under which storage keeps a job: that of its caller, together
// with the name of the customer who owns it, empty if there is none.
func StoredJobID(customer, callerID string) string {
	// Only the path of a request can hold such an ID. It must not give access to the job of
	// a customer.
	if customer == "" && !strings.HasPrefix(callerID, ownedJobMark) {
		return callerID
	}
	return ownedJobMark + customer + ownedJobMark + callerID
}

// SplitStoredJobID returns the customer and the caller's ID of a stored ID.
func SplitStoredJobID(storedID string) (customer, callerID string) {
	owned, ok := strings.CutPrefix(storedID, ownedJobMark)
	if !ok {
		return "", storedID
	}
	customer, callerID, _ = strings.Cut(owned, ownedJobMark)
	return customer, callerID
}

// Owner returns the name of the customer who owns a job, empty if there is none. Replicas of
// builds without customers store only the ID.
func Owner(job *pb.PageJob) string {
	if job.GetCustomer() != "" {
		return job.GetCustomer()
	}
	customer, _ := SplitStoredJobID(job.GetJobId())
	return customer
}
