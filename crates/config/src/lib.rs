//! Proposes, approves and applies configuration, and keeps its audit log.
