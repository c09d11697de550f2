//! Store calls, added latency and recovery time of the journal.
