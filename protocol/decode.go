package protocol

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
)

// Decode reads one JSON value strictly: an unknown field is an error, so that a
// misspelt one is not ignored.
func Decode(body []byte, into any) *Error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return &Error{Code: CodeInvalid, Message: "body: " + err.Error()}
	}
	if d.More() {
		return &Error{Code: CodeInvalid, Message: "body: more than one JSON value"}
	}
	return nil
}

// checkAddress accepts an IP address with a port. Host names are rejected, because
// endpoints and processes connect by IP address and resolve no names.
func checkAddress(s string) error {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return fmt.Errorf("%q is not IP:port", s)
	}
	if a.Addr().IsUnspecified() || a.Port() == 0 {
		return fmt.Errorf("%q cannot be connected to: the address is unspecified or the port is 0", s)
	}
	return nil
}
