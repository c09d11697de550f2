//! Cost, quality, latency and exposure of routing policies, in virtual time.
