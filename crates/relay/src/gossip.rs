//! Exchange between entry hosts: evidence on new versions, in rounds, while traffic shifts; findings on crashes and on limits
//! of servers and on cold servers, at once.
//!
//! None of them needs the store, so all go on while it is away.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use foxtailhoist_model::ServiceId;
use foxtailhoist_model::VersionId;
use foxtailhoist_rollout::shift::shared::HostEvidence;
use foxtailhoist_route::backends::rate_limit::LimitFinding;
use foxtailhoist_route::backends::warm_up::ColdFinding;
use foxtailhoist_route::blame::CrashNews;
use foxtailhoist_route::blame::FANOUT;
use foxtailhoist_route::blame::MAX_MESSAGE_CRASHES;
use foxtailhoist_route::blame::MAX_MESSAGE_FINDINGS;
use foxtailhoist_route::blame::MIN_NEWS_INTERVAL;
use foxtailhoist_route::blame::NEWS_DELAY;
use foxtailhoist_route::blame::NewsRound;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::task::spawn_local;

use crate::clock::unix_ms;
use crate::conn::Conn;
use crate::core::Core;
use crate::memory::Holder;

pub(crate) const EVIDENCE_PATH: &str = "/evidence";
pub(crate) const CRASHES_PATH: &str = "/crashes";
pub(crate) const LIMITS_PATH: &str = "/limits";
/// A path of its own, which hosts of earlier releases refuse.
pub(crate) const COLD_PATH: &str = "/cold";
/// Interval between rounds; the evidence of a large fleet spreads in about six of them.
const ROUND_INTERVAL: Duration = Duration::from_millis(400);
const SEND_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time for a message to arrive; its sender gives up after [`SEND_TIMEOUT`].
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(1);
/// Rounds in which a host asks what it may have missed, unless it is answered before.
const ASK_ROUNDS: u8 = 8;
/// Maximum size of a received message.
const MAX_MESSAGE_BYTES: usize = 1024 * 1024;

/// Evidence on the target of one shift.
#[derive(Debug, Serialize, Deserialize)]
struct Message {
    service: ServiceId,
    target: VersionId,
    hosts: Vec<HostEvidence>,
}

/// What a host tells of crashes.
#[derive(Debug, Default, Serialize, Deserialize)]
struct CrashMessage {
    news: CrashNews,
    /// Whether the sender wants to know what is quarantined.
    asks: bool,
}

/// Findings on limits of servers.
#[derive(Debug, Serialize, Deserialize)]
struct LimitMessage {
    findings: Vec<LimitFinding>,
    /// Whether the sender wants to know all limits in force.
    asks: bool,
}

/// Findings on cold servers.
#[derive(Debug, Serialize, Deserialize)]
struct ColdMessage {
    findings: Vec<ColdFinding>,
    /// Whether the sender wants to know all cold servers.
    asks: bool,
}

/// Passes on evidence until the process ends.
pub(crate) async fn run(core: Rc<Core>) {
    loop {
        tokio::time::sleep(ROUND_INTERVAL).await;
        let messages = news(&core);
        if messages.is_empty() {
            continue;
        }
        if let Some(body) = encode(EVIDENCE_PATH, &messages) {
            for peer in some_peers(&core) {
                spawn_local(send(peer, EVIDENCE_PATH, body.clone()));
            }
        }
    }
}

/// Passes on findings on crashes and on limits of servers until the process ends: at once, and again in the next rounds. A
/// host that has started, was suspended or is cut off from servers, so that it notices no crash itself, asks the others
/// for theirs.
pub(crate) async fn run_news(core: Rc<Core>) {
    let mut asks_left = ASK_ROUNDS;
    let answered = Rc::new(Cell::new(false));
    loop {
        let asks = asks_left > 0 && !answered.get();
        let has_news = {
            let dispatcher = core.dispatcher.borrow();
            dispatcher.has_crash_news(Instant::now())
                || dispatcher.has_limit_news()
                || dispatcher.has_cold_news()
        };
        if !asks && !has_news {
            tokio::select! {
                () = core.news.notified() => {}
                () = core.news_missed.notified() => {
                    asks_left = ASK_ROUNDS;
                    answered.set(false);
                }
            }
        }
        let asks = asks_left > 0 && !answered.get();
        tokio::time::sleep(NEWS_DELAY).await;
        // A host that has just started may not know the others yet.
        if !core.feeds.borrow().other_addresses().is_empty() {
            let round = core.dispatcher.borrow_mut().take_crash_news(Instant::now());
            send_crash_news(&core, round, asks.then(|| answered.clone()));
            let limits = core.dispatcher.borrow_mut().take_limit_news(Instant::now());
            if asks || !limits.is_empty() {
                exchange_limits(&core, &LimitMessage { findings: limits, asks });
            }
            let cold = core.dispatcher.borrow_mut().take_cold_news(Instant::now());
            if asks || !cold.is_empty() {
                exchange_cold(&core, &ColdMessage { findings: cold, asks });
            }
            asks_left = asks_left.saturating_sub(1);
        }
        tokio::time::sleep(MIN_NEWS_INTERVAL).await;
        tokio::select! {
            () = tokio::time::sleep(ROUND_INTERVAL) => {}
            () = core.news.notified() => {}
        }
    }
}

/// Handles a peer's evidence.
pub(crate) async fn receive(core: &Core, body: Incoming) -> StatusCode {
    let Ok(messages) = decode::<Vec<Message>>(core, body).await else {
        return StatusCode::BAD_REQUEST;
    };
    for message in messages {
        core.merge_evidence(&message.service, &message.target, message.hosts);
    }
    StatusCode::NO_CONTENT
}

/// Handles what a peer tells of crashes; returns what it may have missed.
pub(crate) async fn receive_crashes(
    core: &Core,
    body: Incoming,
) -> Result<Vec<u8>, UnreadableMessage> {
    let CrashMessage { news, .. } = decode(core, body).await?;
    if news.findings.len() > MAX_MESSAGE_FINDINGS || news.crashes.len() > MAX_MESSAGE_CRASHES {
        return Err(UnreadableMessage);
    }
    let reply = core.dispatcher.borrow().quarantined_findings(Instant::now());
    core.merge_crash_news(&news);
    rmp_serde::to_vec(&CrashMessage { news: reply, asks: false }).map_err(|_| UnreadableMessage)
}

/// Handles a peer's findings on limits; returns those in force if it asks.
pub(crate) async fn receive_limits(
    core: &Core,
    body: Incoming,
) -> Result<Vec<u8>, UnreadableMessage> {
    let LimitMessage { findings, asks } = decode(core, body).await?;
    let known =
        if asks { core.dispatcher.borrow().limit_findings(Instant::now()) } else { Vec::new() };
    core.merge_limit_findings(&findings);
    let reply = LimitMessage { findings: known, asks: false };
    rmp_serde::to_vec(&reply).map_err(|_| UnreadableMessage)
}

/// Handles a peer's findings on cold servers; returns those of this host if it asks.
pub(crate) async fn receive_cold(
    core: &Core,
    body: Incoming,
) -> Result<Vec<u8>, UnreadableMessage> {
    let ColdMessage { findings, asks } = decode(core, body).await?;
    let known =
        if asks { core.dispatcher.borrow().cold_findings(Instant::now()) } else { Vec::new() };
    core.merge_cold_findings(&findings);
    let reply = ColdMessage { findings: known, asks: false };
    rmp_serde::to_vec(&reply).map_err(|_| UnreadableMessage)
}

/// A message that cannot be read, for example from another release.
pub(crate) struct UnreadableMessage;

/// Reads a message into one buffer, whose memory is reserved first, and decodes it.
pub(crate) async fn decode<T: DeserializeOwned>(
    core: &Core,
    body: Incoming,
) -> Result<T, UnreadableMessage> {
    decode_up_to(core, body, MAX_MESSAGE_BYTES).await
}

/// As [`decode`], with at most `max` bytes.
pub(crate) async fn decode_up_to<T: DeserializeOwned>(
    core: &Core,
    mut body: Incoming,
    max: usize,
) -> Result<T, UnreadableMessage> {
    let mut share = core.memory.reserve(Holder::Messages, None);
    let mut buf = Vec::new();
    let read = async {
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| UnreadableMessage)?.into_data() else {
                continue;
            };
            let size = buf.len() + data.len();
            if size > max {
                return Err(UnreadableMessage);
            }
            if size > buf.capacity() {
                let capacity = size.max(2 * buf.capacity()).min(max);
                share.grow(capacity).map_err(|_| {
                    core.metrics.memory_refused(Holder::Messages.name());
                    UnreadableMessage
                })?;
                buf.reserve_exact(capacity - buf.len());
            }
            buf.extend_from_slice(&data);
        }
        Ok(())
    };
    tokio::time::timeout(RECEIVE_TIMEOUT, read).await.map_err(|_| UnreadableMessage)??;
    rmp_serde::from_slice(&buf).map_err(|_| UnreadableMessage)
}

fn news(core: &Core) -> Vec<Message> {
    let mut shifts = core.shifts.borrow_mut();
    let news = shifts.iter_mut().filter_map(|(service, shift)| {
        let hosts = shift.news(&core.cfg.host, unix_ms());
        let target = shift.order().target.clone();
        (!hosts.is_empty()).then(|| Message { service: service.clone(), target, hosts })
    });
    news.collect()
}

/// Sends what is new of crashes to a few other hosts and to the homes of culprits, and adds what they reply if this host
/// asks: hosts that have just started may not be known to others yet, so nobody sends them what they miss.
///
/// A host that asks passes `answered`, which is set with the first reply: others may refuse it until they learn of its
/// registration.
fn send_crash_news(core: &Rc<Core>, round: NewsRound, answered: Option<Rc<Cell<bool>>>) {
    if answered.is_some() || round.has_news_for_all() {
        let message = CrashMessage { news: round.to_all, asks: answered.is_some() };
        if let Some(body) = encode(CRASHES_PATH, &message) {
            for peer in some_peers(core) {
                send_crash_message(core, peer, body.clone(), answered.clone());
            }
        }
    }
    for (home, news) in round.to_homes {
        let address = core.feeds.borrow().entry(&home).map(|entry| entry.address);
        let body = encode(CRASHES_PATH, &CrashMessage { news, asks: false });
        if let Some((address, body)) = address.zip(body) {
            send_crash_message(core, address, body, None);
        }
    }
}

fn send_crash_message(
    core: &Rc<Core>,
    peer: SocketAddr,
    body: Bytes,
    answered: Option<Rc<Cell<bool>>>,
) {
    let core = core.clone();
    spawn_local(async move {
        core.metrics.crash_news_sent(body.len());
        if let Some(reply) = send(peer, CRASHES_PATH, body).await
            && let Ok(CrashMessage { news, .. }) = rmp_serde::from_slice(&reply)
        {
            if let Some(answered) = answered {
                answered.set(true);
            }
            core.merge_crash_news(&news);
        }
    });
}

/// Sends findings on limits of servers to a few other hosts, and adds what they reply.
fn exchange_limits(core: &Rc<Core>, message: &LimitMessage) {
    let Some(body) = encode(LIMITS_PATH, message) else {
        return;
    };
    for peer in some_peers(core) {
        let (core, body) = (core.clone(), body.clone());
        spawn_local(async move {
            if let Some(reply) = send(peer, LIMITS_PATH, body).await
                && let Ok(reply) = rmp_serde::from_slice::<LimitMessage>(&reply)
            {
                core.merge_limit_findings(&reply.findings);
            }
        });
    }
}

/// Sends findings on cold servers to a few other hosts, and adds what they reply.
fn exchange_cold(core: &Rc<Core>, message: &ColdMessage) {
    let Some(body) = encode(COLD_PATH, message) else {
        return;
    };
    for peer in some_peers(core) {
        let (core, body) = (core.clone(), body.clone());
        spawn_local(async move {
            if let Some(reply) = send(peer, COLD_PATH, body).await
                && let Ok(reply) = rmp_serde::from_slice::<ColdMessage>(&reply)
            {
                core.merge_cold_findings(&reply.findings);
            }
        });
    }
}

pub(crate) fn encode<T: Serialize>(path: &str, message: &T) -> Option<Bytes> {
    match rmp_serde::to_vec(message) {
        Ok(body) => Some(Bytes::from(body)),
        Err(e) => {
            log::warn!("event=message_not_encoded path={path} reason={:?}", e.to_string());
            None
        }
    }
}

/// A few other hosts, drawn anew each time.
fn some_peers(core: &Core) -> Vec<SocketAddr> {
    let peers = core.feeds.borrow().other_addresses();
    peers.into_iter().sample(&mut rand::rng(), FANOUT)
}

/// Sends a message and returns the reply's body; a peer that misses one gets the next update from another host.
pub(crate) async fn send(peer: SocketAddr, path: &'static str, body: Bytes) -> Option<Bytes> {
    let exchange = async {
        let mut conn = Conn::open(peer, SEND_TIMEOUT).await.ok()?;
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(path);
        let response = conn.send(request).await.ok()?;
        let reply = Limited::new(response.into_body(), MAX_MESSAGE_BYTES).collect().await.ok()?;
        Some(reply.to_bytes())
    };
    tokio::time::timeout(SEND_TIMEOUT, exchange).await.ok().flatten()
}
