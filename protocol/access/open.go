package access

// Open returns the access of a closed network, where no credentials are checked.
func Open() *Access { return &Access{insecure: true} }
