package message

// RequestError says why a client's request is not one of the protocol, and the status of the response. It is
// never a rejection, which would tell the client to send the same again.
type RequestError struct {
	Status  int
	Message string
}

// Error is the text of the response.
func (e *RequestError) Error() string { return e.Message }
