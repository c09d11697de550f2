//! Connections under the silent fault: they stay open, but nothing is answered on them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Mutex;

use crate::sync::lock;

/// Maximum connections remembered; the lowest address is evicted first.
const CONNECTIONS_LIMIT: usize = 65_536;

/// Connections of one stand-in, by remote address.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    table: Mutex<ConnectionTable>,
}

#[derive(Debug, Default)]
struct ConnectionTable {
    seen: BTreeSet<SocketAddr>,
    silent: BTreeSet<SocketAddr>,
}

impl Connections {
    /// Records a request on a connection.
    pub(crate) fn record(&self, remote: SocketAddr) {
        let mut table = lock(&self.table);
        if table.seen.len() >= CONNECTIONS_LIMIT {
            table.seen.pop_first();
        }
        table.seen.insert(remote);
    }

    /// Silences every connection seen so far, except the one that sent the request for it.
    pub(crate) fn silence(&self, except: SocketAddr) {
        let mut table = lock(&self.table);
        let seen = std::mem::take(&mut table.seen);
        table.silent = seen;
        table.silent.remove(&except);
        table.seen.insert(except);
    }

    pub(crate) fn is_silent(&self, remote: SocketAddr) -> bool {
        lock(&self.table).silent.contains(&remote)
    }
}
