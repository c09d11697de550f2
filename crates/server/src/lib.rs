//! HTTP interface for callers, operators and peers; performs the host's effects.
