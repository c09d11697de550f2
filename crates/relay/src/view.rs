//! Messages of the shared view of the servers: reports to the highest-ranked hosts of the data centre, whose replies are
//! their digests, and digests between data centres.
//!
//! A host reports to the two highest-ranked hosts of its data centre in turn, so that it has a new digest each time, each
//! of the two has all reports, and a host pays for one message at a time. Hosts of the same rank in two data centres
//! exchange their digests in one message and its reply; the data centre whose name comes first sends it. All use kept
//! connections. Where a host does not know the paths or does not answer, the others decide as without a digest.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use foxtailhoist_model::stable_hash;
use foxtailhoist_peers::feeds::HostAddress;
use foxtailhoist_route::view::digest::Digest;
use foxtailhoist_route::view::digest::Exchange;
use foxtailhoist_route::view::report::Report;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::conn::Conn;
use crate::core::Core;
use crate::gossip::UnreadableMessage;
use crate::gossip::decode;
use crate::gossip::encode;

pub(crate) const LOAD_PATH: &str = "/load";
pub(crate) const DIGESTS_PATH: &str = "/digests";
/// Number of hosts of a data centre that merge reports.
const KEEPERS: usize = 2;
/// Interval between two reports, which go to the keepers in turn: each keeper hears of a host within the time for which its
/// load counts. Speeds, caches and memory in use change slowly, and each message takes processor time on both hosts.
const REPORT_INTERVAL: Duration = Duration::from_millis(900);
/// Reports between two exchanges with other data centres.
const REPORTS_PER_EXCHANGE: u32 = 1;
const SEND_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of a received message: 512 servers and 512 prefixes take about 20 kB.
const MAX_MESSAGE_BYTES: usize = 64 * 1024;
/// Seed of the hash that spreads the hosts' reports over the interval.
const SPREAD_SEED: u64 = 0x7670_7264;

/// State of the conversation with one keeper.
#[derive(Clone, Debug, Default)]
struct Keeping {
    keeper: Option<HostAddress>,
    /// Start of the keeper and its last change that this host has.
    seen: (u64, u64),
}

impl Keeping {
    fn is_host(&self, host: &str) -> bool {
        self.keeper.as_ref().is_some_and(|(keeper, _)| keeper == host)
    }
}

/// Reports to the keepers and exchanges digests until the process ends.
pub(crate) async fn run(core: Rc<Core>) {
    let share = stable_hash(SPREAD_SEED, &[core.cfg.host.as_bytes()]) as f64 / u64::MAX as f64;
    tokio::time::sleep(REPORT_INTERVAL.mul_f64(share)).await;
    let mut keepings: [Keeping; KEEPERS] = Default::default();
    let mut round: u32 = 0;
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        if !core.dispatcher.borrow().backends().shares_view() {
            continue;
        }
        round = round.wrapping_add(1);
        let keepers = core.feeds.borrow().highest_ranked(&core.cfg.data_centre, KEEPERS);
        for (keeping, keeper) in keepings.iter_mut().zip(keepers) {
            if keeping.keeper.as_ref() != Some(&keeper) {
                *keeping = Keeping { keeper: Some(keeper), seen: (0, 0) };
            }
        }
        let turn = round as usize % KEEPERS;
        report(&core, &mut keepings[turn]).await;
        let state = core.dispatcher.borrow().backends().view_state(Instant::now());
        core.metrics.view_state(&state);
        let rank = keepings.iter().position(|keeping| keeping.is_host(&core.cfg.host));
        if let Some(rank) = rank.filter(|_| round.is_multiple_of(REPORTS_PER_EXCHANGE)) {
            exchange_digests(&core, rank).await;
        }
    }
}

/// Handles a host's report; returns the digest as the reply.
pub(crate) async fn receive_report(
    core: &Core,
    body: Incoming,
) -> Result<Vec<u8>, UnreadableMessage> {
    let report: Report = decode(core, body).await?;
    let is_own_centre = core
        .feeds
        .borrow()
        .entry(&report.host)
        .is_some_and(|entry| entry.data_centre == core.cfg.data_centre);
    if !is_own_centre {
        return Err(UnreadableMessage);
    }
    let now = Instant::now();
    let mut keeper = core.keeper.borrow_mut();
    keeper.merge(&report, now);
    reply(core, &keeper.digest(report.seen, now))
}

/// Handles another data centre's digest; returns that of this one.
pub(crate) async fn receive_exchange(
    core: &Core,
    body: Incoming,
) -> Result<Vec<u8>, UnreadableMessage> {
    let exchange: Exchange = decode(core, body).await?;
    if !core.feeds.borrow().other_data_centres().contains(&exchange.data_centre) {
        return Err(UnreadableMessage);
    }
    let now = Instant::now();
    let mut keeper = core.keeper.borrow_mut();
    let reply_to = exchange.seen;
    let other = exchange.data_centre.clone();
    keeper.merge_other(exchange, now);
    let seen = keeper.seen_of(&other);
    let digest = keeper.own_digest(reply_to, now);
    reply(core, &Exchange { data_centre: core.cfg.data_centre.clone(), seen, digest })
}

fn reply<T: Serialize>(core: &Core, message: &T) -> Result<Vec<u8>, UnreadableMessage> {
    let body = rmp_serde::to_vec(message).map_err(|_| UnreadableMessage)?;
    core.metrics.view_sent(body.len());
    Ok(body)
}

/// Reports to a keeper, which may be this host, and takes in its digest.
async fn report(core: &Rc<Core>, keeping: &mut Keeping) {
    let Some((host, address)) = keeping.keeper.clone() else {
        return;
    };
    let report = core.dispatcher.borrow_mut().backends_mut().take_report();
    let Some(report) = report else {
        return;
    };
    let report = Report { host: core.cfg.host.clone(), seen: keeping.seen, ..report };
    let digest = if host == core.cfg.host {
        let now = Instant::now();
        let mut keeper = core.keeper.borrow_mut();
        keeper.merge(&report, now);
        Some(keeper.digest(report.seen, now))
    } else {
        send(core, address, LOAD_PATH, &report).await
    };
    let digest: Option<Digest> = digest;
    if let Some(digest) = digest {
        keeping.seen = digest.version;
        let now = Instant::now();
        core.dispatcher.borrow_mut().backends_mut().apply_digest(&digest, &report, now);
    }
}

/// Exchanges digests with the keepers of the same rank in other data centres.
async fn exchange_digests(core: &Rc<Core>, rank: usize) {
    let own = &core.cfg.data_centre;
    let others: Vec<Vec<HostAddress>> = {
        let feeds = core.feeds.borrow();
        let later = feeds.other_data_centres().into_iter().filter(|centre| *centre > own);
        let keepers = later.map(|centre| feeds.highest_ranked(centre, KEEPERS));
        keepers
            .map(|mut keepers| {
                let first = rank.min(keepers.len().saturating_sub(1));
                keepers.rotate_left(first);
                keepers
            })
            .collect()
    };
    let exchanges = others.into_iter().map(|keepers| exchange_with(core, keepers));
    futures::future::join_all(exchanges).await;
}

/// Exchanges digests with the first keeper of another data centre that replies.
async fn exchange_with(core: &Rc<Core>, keepers: Vec<HostAddress>) {
    for (host, address) in keepers {
        let Some(data_centre) =
            core.feeds.borrow().entry(&host).map(|entry| entry.data_centre.clone())
        else {
            continue;
        };
        let message = {
            let mut keeper = core.keeper.borrow_mut();
            let acknowledged = keeper.acknowledged_by(&data_centre);
            let digest = keeper.own_digest(acknowledged, Instant::now());
            let seen = keeper.seen_of(&data_centre);
            Exchange { data_centre: core.cfg.data_centre.clone(), seen, digest }
        };
        if let Some(reply) = send::<_, Exchange>(core, address, DIGESTS_PATH, &message).await
            && reply.data_centre == data_centre
        {
            core.keeper.borrow_mut().merge_other(reply, Instant::now());
            return;
        }
    }
}

/// Sends a message over a kept connection and returns the reply; `None` if there is none that can be read, as from
/// another release.
async fn send<T: Serialize, R: DeserializeOwned>(
    core: &Rc<Core>,
    address: SocketAddr,
    path: &'static str,
    message: &T,
) -> Option<R> {
    let body = encode(path, message)?;
    core.metrics.view_sent(body.len());
    let reply = tokio::time::timeout(SEND_TIMEOUT, exchange(core, address, path, body));
    rmp_serde::from_slice(&reply.await.ok()??).ok()
}

async fn exchange(
    core: &Rc<Core>,
    address: SocketAddr,
    path: &'static str,
    body: Bytes,
) -> Option<Bytes> {
    let pooled = core.pool.take(address);
    let is_reused = pooled.is_some();
    let mut conn = match pooled {
        Some(conn) => conn,
        None => Conn::open(address, SEND_TIMEOUT).await.ok()?,
    };
    let mut response = conn.send(post(path, &body)).await;
    if response.is_err() && is_reused {
        // The other host may have closed the kept connection.
        conn = Conn::open(address, SEND_TIMEOUT).await.ok()?;
        response = conn.send(post(path, &body)).await;
    }
    let response = response.ok()?;
    let is_ok = response.status() == StatusCode::OK;
    let reply = Limited::new(response.into_body(), MAX_MESSAGE_BYTES).collect().await.ok()?;
    core.pool.put(conn);
    is_ok.then(|| reply.to_bytes())
}

fn post(path: &'static str, body: &Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body.clone()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path);
    request
}
