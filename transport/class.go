package transport

import (
	"io"
	"net"

	"github.com/rotisserie/eris"
)

// Class is a kind of traffic that must not wait for traffic of another class.
type Class byte

// The traffic classes. Each has its own TCP connection.
const (
	Online Class = iota + 1
	Batch
	Control
	classEnd
)

// Classes lists all classes.
func Classes() []Class {
	return []Class{Online, Batch, Control}
}

// String returns the label of the class in metrics and logs.
func (c Class) String() string {
	switch c {
	case Online:
		return "online"
	case Batch:
		return "batch"
	case Control:
		return "control"
	default:
		return "invalid"
	}
}

// preface is the first bytes that a client sends on a connection; the class byte
// follows it.
var preface = [4]byte{'B', 'R', 'X', '1'}

func writePreface(conn net.Conn, class Class) error {
	_, err := conn.Write(append(preface[:], byte(class)))
	return eris.Wrap(err, "send preface")
}

func readPreface(conn net.Conn) (Class, error) {
	var got [len(preface) + 1]byte
	if _, err := io.ReadFull(conn, got[:]); err != nil {
		return 0, eris.Wrap(err, "read preface")
	}
	class := Class(got[len(preface)])
	if [4]byte(got[:4]) != preface || class == 0 || class >= classEnd {
		return 0, eris.New("connection preface is not that of the briarcross protocol")
	}
	return class, nil
}
