//! A token bucket, for the rates that the platform's services hold to.

use std::sync::Mutex;
use std::time::Instant;

use crate::sync::lock;

/// Admits `per_second` calls a second on average and as many at once.
#[derive(Debug)]
pub(crate) struct RateLimit {
    per_second: f64,
    bucket: Mutex<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled_at: Instant,
}

impl RateLimit {
    pub(crate) fn new(per_second: f64) -> RateLimit {
        let bucket = Mutex::new(Bucket { tokens: per_second.max(1.0), filled_at: Instant::now() });
        RateLimit { per_second, bucket }
    }

    /// Takes a call from the bucket, if it holds one.
    pub(crate) fn admit(&self) -> bool {
        let mut bucket = lock(&self.bucket);
        let now = Instant::now();
        let gained = now.duration_since(bucket.filled_at).as_secs_f64() * self.per_second;
        bucket.tokens = (bucket.tokens + gained).min(self.per_second.max(1.0));
        bucket.filled_at = now;
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }
}
