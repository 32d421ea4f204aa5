package access

// Open returns an Access for a closed network, on which no credentials are checked.
func Open() *Access { return &Access{insecure: true} }
