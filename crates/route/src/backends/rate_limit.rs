//! Rate limits that backend servers name in their answers.
//!
//! A limit holds for one incarnation of its server, from the answer that names it until one that does not.

use std::time::Instant;

/// What the head of an answer states of the rate that its server takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// The server takes any rate.
    #[default]
    None,
    /// Requests a second from all hosts together; zero or more and finite.
    PerSecond(f64),
    /// A limit that cannot be read. What was known stays.
    Unreadable,
}

/// What is known of a server's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct KnownLimit {
    /// Requests a second from all hosts together; `None` if there is no limit.
    pub(crate) per_second: Option<f64>,
    /// When that was stated last; `None` if no limit was ever stated.
    as_of: Option<Instant>,
}

impl KnownLimit {
    /// Takes a limit that was stated at `as_of`; returns whether it is another than before.
    pub(crate) fn state(&mut self, per_second: f64, as_of: Instant) -> bool {
        if self.as_of.is_some_and(|known| as_of < known) {
            return false;
        }
        let before = self.per_second.replace(per_second);
        self.as_of = Some(as_of);
        before != self.per_second
    }

    /// Ends the limit unless it was stated after `as_of`; returns whether there was one.
    pub(crate) fn end(&mut self, as_of: Instant) -> bool {
        if self.as_of.is_none_or(|known| as_of <= known) {
            return false;
        }
        self.as_of = Some(as_of);
        self.per_second.take().is_some()
    }
}
