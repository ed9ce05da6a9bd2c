package message

// RequestError is the reason why a client's request does not conform to the protocol, with the status of the response.
// The response is never a rejection, which would invite the client to retry the same request.
type RequestError struct {
	Status  int
	Message string
}

// Error returns the text of the response.
func (e *RequestError) Error() string { return e.Message }
