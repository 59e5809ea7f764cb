package call

// MalformedError is the error of a response that isn't one by the rules of HTTP. Nothing of it is
// used, and its connection is closed.
type MalformedError struct {
	// Part names the part of the response, Problem what is wrong with it.
	Part    string
	Problem string
}

// Error names the part and the problem.
func (err *MalformedError) Error() string { return err.Part + ": " + err.Problem }
