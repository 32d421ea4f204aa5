// Package storage keeps the write-ahead logs and snapshots of the replication
// groups that one process hosts. It is the only package that accesses the data
// directory.
//
// Layout of the data directory:
//
//	LOCK                        locked while a process has the directory open
//	FORMAT                      format version and incarnation
//	groups/<group>/<seq>.log    log segments, numbered from 1 without gaps
//	groups/<group>/<index>.snap the snapshot at a log index
//
// Sequence numbers and indexes in file names are 16 hexadecimal digits. FORMAT,
// snapshots and the first record of each segment are written under a temporary name
// (*.tmp), synced and renamed, so that they are complete whenever they are visible
// under their final name. Only the last segment of a group can hold unsynced bytes,
// because a segment is synced before the next one is created.
//
// Every file starts with a magic number and the format version, followed by frames
// (see frame.go). A snapshot names the segment at which its replay begins. Files
// before that segment are no longer needed, and a restart deletes them without reading
// them.
package storage
