package storage

// SetSegmentBytes makes the logs that s opens from now on start segments of n bytes.
func (s *Store) SetSegmentBytes(n int64) { s.segmentBytes = n }
