//! Connections that have gone silent: still open, and nothing is answered on them any more.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Mutex;

use crate::sync::lock;

/// Connections remembered; the lowest address goes first.
const CONNECTIONS_LIMIT: usize = 65_536;

/// Connections of one stand-in, by the address of their other end.
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
    /// Notes a request on a connection.
    pub(crate) fn saw(&self, remote: SocketAddr) {
        let mut table = lock(&self.table);
        if table.seen.len() >= CONNECTIONS_LIMIT {
            table.seen.pop_first();
        }
        table.seen.insert(remote);
    }

    /// Silences every connection seen so far, save the one that asks for it.
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
