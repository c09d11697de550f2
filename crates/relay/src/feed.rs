//! Receives store updates from other entry hosts and serves them to others.
//!
//! [`Feeds`](foxtailhoist_peers::feeds::Feeds) decides which hosts watch the store and which hosts receive updates from
//! which sources; this module opens the connections that the plan requires and closes the others.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_peers::feeds::HostEntry;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body::Frame as BodyFrame;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use rand::RngExt;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;
use tokio::task::spawn_local;

use crate::conn::Conn;
use crate::conn::PEER_USER_TIMEOUT;
use crate::conn::set_socket_options;
use crate::core::Core;
use crate::follow;
use crate::gossip;
use crate::gossip::COLD_PATH;
use crate::gossip::CRASHES_PATH;
use crate::gossip::EVIDENCE_PATH;
use crate::gossip::LIMITS_PATH;
use crate::hand_over::HANDED_OVER;
use crate::hand_over::OUT_OF_REACH;
use crate::hand_over::is_current;
use crate::log_event::LogEvent;
use crate::mirror::Frame;
use crate::serve::AnswerBody;
use crate::serve::serve_handed_over;
use crate::shares;
use crate::shares::SHARES_PATH;
use crate::store::StoreClient;
use crate::view;
use crate::view::DIGESTS_PATH;
use crate::view::LOAD_PATH;
use crate::wire::ObjectKind;

const FEED_PATH: &str = "/feed";
/// Name in metrics of refused connections of other hosts.
const HOST_CONNECTIONS: &str = "host_connections";
/// Maximum time for the head of another host's request. It is longer than hosts keep idle connections for reuse.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Limit on the read buffer of another host's connection, and so on the head of a request that is handed over.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Interval between heartbeats to subscribers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Silence after which a source is dropped; a lost source must be replaced within the time limit for applying a
/// configuration.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(900);
const SOURCE_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between evaluations of the plan.
const PLAN_INTERVAL: Duration = Duration::from_millis(125);
/// Maximum interval between probes of the store while the state of all sources is stale.
const PROBE_INTERVAL: Duration = Duration::from_millis(2_500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// Wait for the other hosts to register when the entire system starts for the first time.
const REGISTRATION_WAIT: Duration = Duration::from_millis(900);
/// Timeout of a store call that adds or removes a host's registration.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Upper bound of the random delay before a host registers again with a restored store.
const RESTORED_REGISTRATION_SPREAD: Duration = Duration::from_millis(2_000);
/// Delay before a failed registration is retried.
const REGISTRATION_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Maximum delay before a registration that keeps failing is retried, in a fleet of many data centres.
const MAX_REGISTRATION_RETRY_DELAY: Duration = Duration::from_millis(4_000);
/// Maximum size of a received frame.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Tasks that receive updates, by source.
type Sources = BTreeMap<EntryHostId, AbortHandle>;

/// Registers this host, then carries out the plan until the process ends.
pub(crate) async fn run(core: Rc<Core>, is_first_start: bool) {
    let mut client = StoreClient::new(core.cfg.store);
    let mut is_registered = start(&core, &mut client, is_first_start).await;
    let mut retry_delay = REGISTRATION_RETRY_DELAY;
    let mut registered_at = Instant::now();
    let mut sources = Sources::new();
    let mut heartbeat_at = Instant::now();
    let mut probe_at = Instant::now();
    // When to put back a registration that a restored store lacks.
    let mut put_back_at = None;
    loop {
        let probes = apply_plan(&core, &mut sources);
        let now = Instant::now();
        if probes && now >= probe_at {
            probe_at = now + PROBE_INTERVAL.mul_f64(rand::rng().random_range(0.5..1.0));
            spawn_local(probe_store(core.clone()));
        }
        if now >= heartbeat_at {
            core.mirror.publish(&Frame::Beat { age: core.mirror.age(now) });
            heartbeat_at = now + HEARTBEAT_INTERVAL;
        }
        if is_lost_in_restore(&core) {
            let at = *put_back_at.get_or_insert_with(|| {
                now + RESTORED_REGISTRATION_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0))
            });
            if now >= at {
                put_back_registration(&core, &mut client).await;
                put_back_at = None;
            }
        }
        let is_listed = core.feeds.borrow().entry(&core.cfg.host) == Some(&own_entry(&core));
        if (!is_registered || !is_listed) && now >= registered_at + retry_delay {
            is_registered = register(&core, &mut client, false).await == Some(true);
            registered_at = Instant::now();
            let has_many_centres = core.feeds.borrow().has_many_centres();
            retry_delay = if is_registered || !has_many_centres {
                REGISTRATION_RETRY_DELAY
            } else {
                let jitter = rand::rng().random_range(1.0..2.0);
                retry_delay.mul_f64(jitter).min(MAX_REGISTRATION_RETRY_DELAY)
            };
        }
        remove_abandoned(&core, &mut client, now).await;
        tokio::select! {
            () = tokio::time::sleep(PLAN_INTERVAL) => {}
            // Connections may have been lost during the suspension: the plan opens them again.
            () = core.resumed.notified() => {
                for (_, source) in std::mem::take(&mut sources) {
                    source.abort();
                }
            }
        }
    }
}

/// Serves the feed to other entry hosts. Connections over the number that the machine carries are closed at once.
pub(crate) async fn serve(core: Rc<Core>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(core.cfg.machine.host_connections()));
    loop {
        let Ok((stream, sender)) = listener.accept().await else {
            tokio::time::sleep(PLAN_INTERVAL).await;
            continue;
        };
        // The semaphore is never closed, so this fails only without a permit.
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            core.metrics.memory_refused(HOST_CONNECTIONS);
            continue;
        };
        if let Err(e) = set_socket_options(&stream, PEER_USER_TIMEOUT) {
            log::warn!("event=socket_options_refused reason={:?}", e.to_string());
        }
        let core = core.clone();
        spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let core = core.clone();
                async move { Ok::<_, Infallible>(answer_host(&core, sender.ip(), request).await) }
            });
            let mut builder = http1::Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .max_buf_size(READ_BUFFER_BYTES);
            // A subscriber may disconnect at any time.
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
            drop(permit);
        });
    }
}

type FeedBody = http_body_util::Either<
    Full<Bytes>,
    http_body_util::combinators::UnsyncBoxBody<Bytes, Infallible>,
>;

/// Body of an answer to another host: its own, or that to a request which was handed over.
type HostBody = http_body_util::Either<FeedBody, AnswerBody>;

async fn answer_host(
    core: &Rc<Core>,
    sender: IpAddr,
    request: Request<Incoming>,
) -> Response<HostBody> {
    if !request.headers().contains_key(HANDED_OVER) {
        return answer(core, sender, request).await.map(HostBody::Left);
    }
    let is_host = core.feeds.borrow().is_host_address(sender);
    if !is_host {
        core.refuse_news(sender);
    }
    if !is_host || !is_current(core, request.headers()) {
        let mut response = Response::new(HostBody::Left(FeedBody::Left(Full::default())));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response.headers_mut().insert(OUT_OF_REACH, HeaderValue::from_static("1"));
        return response;
    }
    serve_handed_over(core.clone(), request).await.map(HostBody::Right)
}

async fn answer(core: &Core, sender: IpAddr, request: Request<Incoming>) -> Response<FeedBody> {
    let path = request.uri().path();
    let messages =
        [EVIDENCE_PATH, CRASHES_PATH, LIMITS_PATH, COLD_PATH, LOAD_PATH, DIGESTS_PATH, SHARES_PATH];
    let is_news = messages.contains(&path);
    if is_news && !core.feeds.borrow().is_host_address(sender) {
        core.refuse_news(sender);
        let mut response = Response::new(FeedBody::Left(Full::default()));
        *response.status_mut() = StatusCode::FORBIDDEN;
        return response;
    }
    if path == EVIDENCE_PATH {
        let mut response = Response::new(FeedBody::Left(Full::default()));
        *response.status_mut() = gossip::receive(core, request.into_body()).await;
        return response;
    }
    if is_news {
        let reply = match path {
            CRASHES_PATH => gossip::receive_crashes(core, request.into_body()).await,
            LIMITS_PATH => gossip::receive_limits(core, request.into_body()).await,
            COLD_PATH => gossip::receive_cold(core, request.into_body()).await,
            SHARES_PATH => shares::receive(core, sender, request.into_body()).await,
            LOAD_PATH => view::receive_report(core, request.into_body()).await,
            _ => view::receive_exchange(core, request.into_body()).await,
        };
        let is_readable = reply.is_ok();
        let body = Full::new(Bytes::from(reply.unwrap_or_default()));
        let mut response = Response::new(FeedBody::Left(body));
        if !is_readable {
            *response.status_mut() = StatusCode::BAD_REQUEST;
        }
        return response;
    }
    if request.uri().path() != FEED_PATH {
        let mut response = Response::new(FeedBody::Left(Full::default()));
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let (first, mut rx) = core.mirror.subscribe();
    let first = futures::stream::iter(first);
    let rest = futures::stream::poll_fn(move |cx| rx.poll_recv(cx));
    let frames = futures::StreamExt::chain(first, rest);
    let frames = futures::StreamExt::map(frames, |bytes| Ok(BodyFrame::data(bytes)));
    Response::new(FeedBody::Right(StreamBody::new(frames).boxed_unsync()))
}

fn own_entry(core: &Core) -> HostEntry {
    HostEntry { address: core.cfg.peers, data_centre: core.cfg.data_centre.clone() }
}

/// Whether this host was registered with the store before its restore and is not any more.
fn is_lost_in_restore(core: &Core) -> bool {
    let lost = core.mirror.lost_in_restore(ObjectKind::Hosts);
    lost.iter().any(|record| record.name == core.cfg.host)
}

async fn put_back_registration(core: &Core, client: &mut StoreClient) {
    let request = core.wire.register_host(&core.cfg.host, &own_entry(core));
    match client.call(core, request, REGISTRATION_TIMEOUT).await {
        Ok(answer) => log::info!("event=host_registered status={}", answer.status),
        Err(e) => log::warn!("event=host_not_registered reason={:?}", e.to_string()),
    }
}

/// Registers this host at its start and lists the others; returns whether that succeeded. In a fleet of many data
/// centres, a list that may be seconds old suffices, at a tenth of the price, unless all hosts have just registered: the
/// feeds and watches bring what it lacks.
async fn start(core: &Rc<Core>, client: &mut StoreClient, is_first_start: bool) -> bool {
    if is_first_start {
        let entry = own_entry(core);
        // No host is listed yet: all register first and list afterwards.
        let request = core.wire.register_host(&core.cfg.host, &entry);
        if let Err(e) = client.call(core, request, REGISTRATION_TIMEOUT).await {
            log::warn!("event=host_not_registered reason={:?}", e.to_string());
        }
        tokio::time::sleep(REGISTRATION_WAIT).await;
    }
    match register(core, client, !is_first_start).await {
        Some(is_registered) => is_registered,
        None => register(core, client, false).await == Some(true),
    }
}

/// Lists the hosts and registers this one unless it is listed; returns whether that succeeded, or `None` if a list that
/// may be old contradicts what the store answers and has to be made anew.
async fn register(core: &Rc<Core>, client: &mut StoreClient, allow_stale: bool) -> Option<bool> {
    let entry = own_entry(core);
    if let Err(e) = follow::list_once(core, client, ObjectKind::Hosts, allow_stale).await {
        log::warn!("event=hosts_not_listed reason={:?}", e.to_string());
        return Some(false);
    }
    if allow_stale && !core.feeds.borrow().has_many_centres() {
        return None;
    }
    let listed = core.feeds.borrow().entry(&core.cfg.host).cloned();
    if listed.as_ref() == Some(&entry) {
        return Some(true);
    }
    if listed.is_some() {
        if allow_stale {
            return None;
        }
        // The host restarted under the same name at another address.
        let request = core.wire.remove_host(&core.cfg.host);
        if let Err(e) = client.call(core, request, REGISTRATION_TIMEOUT).await {
            log::warn!("event=host_not_removed reason={:?}", e.to_string());
            return Some(false);
        }
    }
    let request = core.wire.register_host(&core.cfg.host, &entry);
    match client.call(core, request, REGISTRATION_TIMEOUT).await {
        // The host is registered, possibly at another address.
        Ok(answer) if allow_stale && answer.status == StatusCode::CONFLICT => None,
        Ok(answer) => {
            core.feeds.borrow_mut().add_host(core.cfg.host.clone(), entry);
            Some(answer.status.is_success() || answer.status == StatusCode::CONFLICT)
        }
        Err(e) => {
            log::warn!("event=host_not_registered reason={:?}", e.to_string());
            Some(false)
        }
    }
}

/// Removes the registrations of hosts that have been unreachable for a long time.
async fn remove_abandoned(core: &Rc<Core>, client: &mut StoreClient, now: Instant) {
    let abandoned = core.feeds.borrow().abandoned(now);
    for host in abandoned {
        core.feeds.borrow_mut().remove_host(&host);
        let outcome = client.call(core, core.wire.remove_host(&host), REGISTRATION_TIMEOUT).await;
        match outcome {
            Ok(answer) => log::info!("event=host_removed host={host} status={}", answer.status),
            Err(e) => log::warn!("event=host_not_removed host={host} reason={:?}", e.to_string()),
        }
    }
}

/// Makes one call to the store to find out whether this host can reach it.
async fn probe_store(core: Rc<Core>) {
    let mut client = StoreClient::new(core.cfg.store);
    let revision = core.mirror.revision(ObjectKind::Configuration).unwrap_or_default();
    let request = core.wire.watch(ObjectKind::Configuration, revision, Duration::from_millis(1));
    let answer = client.call(&core, request, PROBE_TIMEOUT).await;
    core.metrics.store_call("probe");
    // Status 410 also shows that the store serves this host; the watch that follows reads the content.
    if answer.is_ok_and(|answer| answer.status.is_success() || answer.status == StatusCode::GONE) {
        core.feeds.borrow_mut().reached_store(Instant::now());
    }
}

/// Opens and closes connections according to the plan; returns whether the store is to be probed.
fn apply_plan(core: &Rc<Core>, sources: &mut Sources) -> bool {
    let plan = core.feeds.borrow().plan(Instant::now());
    let (fleet, near) = core.feeds.borrow().host_counts();
    core.dispatcher.borrow_mut().set_host_counts(fleet, near);
    core.dispatcher.borrow_mut().set_hosts(&core.cfg.host, &core.feeds.borrow().host_names());
    if !plan.watches && !plan.probes {
        // Whether the store answers matters again when this host is to watch it.
        core.feeds.borrow_mut().set_turned_away(false);
    }
    core.watching.send_if_modified(|watching| {
        let changed = *watching != plan.watches;
        *watching = plan.watches;
        if changed {
            core.log.write(&LogEvent::Watching(plan.watches));
        }
        changed
    });
    sources.retain(|host, task| {
        let is_wanted = plan.sources.contains_key(host);
        if !is_wanted {
            task.abort();
            core.feeds.borrow_mut().source_dropped(host, Instant::now());
        }
        is_wanted && !task.is_finished()
    });
    for (host, address) in plan.sources {
        let task =
            || spawn_local(follow_source(core.clone(), host.clone(), address)).abort_handle();
        sources.entry(host.clone()).or_insert_with(task);
    }
    plan.probes
}

/// Receives updates from a source until it fails.
async fn follow_source(core: Rc<Core>, host: EntryHostId, address: std::net::SocketAddr) {
    core.log.write(&LogEvent::Source { host: &host });
    let reason = match read_feed(&core, &host, address).await {
        Ok(never) => match never {},
        Err(reason) => reason,
    };
    core.feeds.borrow_mut().source_failed(&host, Instant::now());
    core.log.write(&LogEvent::SourceLost { host: &host, reason: &reason });
}

/// Reads a source's feed; returns only with the reason why it failed.
async fn read_feed(
    core: &Rc<Core>,
    host: &str,
    address: std::net::SocketAddr,
) -> Result<Infallible, String> {
    let mut conn = Conn::open(address, SOURCE_CONNECT_TIMEOUT).await.map_err(|e| e.to_string())?;
    let request = Request::get(FEED_PATH)
        .header(header::HOST, address.to_string())
        .body(Full::default())
        .map_err(|e| e.to_string())?;
    let timed_out = |_| "silent".to_owned();
    let sent_at = Instant::now();
    let answer =
        tokio::time::timeout(SOURCE_TIMEOUT, conn.send(request)).await.map_err(timed_out)?;
    // Watchers of several data centres subscribe to one another: without the time on the way, their states would age
    // too slowly.
    let has_many_centres = core.feeds.borrow().has_many_centres();
    let transit = if has_many_centres { sent_at.elapsed() / 2 } else { Duration::ZERO };
    let mut body = answer.map_err(|e| format!("{e:?}"))?.into_body();
    let started = Instant::now();
    let mut buf = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(SOURCE_TIMEOUT, body.frame()).await.map_err(timed_out)?;
        let frame = frame.ok_or("ended")?.map_err(|e| e.to_string())?;
        if let Ok(data) = frame.into_data() {
            buf.extend_from_slice(&data);
        }
        while let Some(frame) = split_frame(&mut buf)? {
            let Frame::Beat { age } = frame else {
                follow::apply_frame(core, frame);
                continue;
            };
            // A source that has just started has received no updates yet.
            let now = Instant::now();
            let age = age.map(|age| age + transit);
            let max_age = core.watch_waits.max_source_age();
            let is_fresh = age.unwrap_or(now - started) <= max_age;
            if let Some(fresh_at) = age.and_then(|age| now.checked_sub(age)) {
                core.mirror.set_fresh(fresh_at);
            }
            core.feeds.borrow_mut().source_active(host, is_fresh);
        }
    }
}

/// Removes a complete frame from the buffer, if there is one.
fn split_frame(buf: &mut BytesMut) -> Result<Option<Frame>, String> {
    if buf.len() < 4 {
        return Ok(None);
    }
    let length = u32::from_be_bytes([buf[0], buf[1], buf[2], buf[3]]) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(format!("frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}"));
    }
    if buf.len() < 4 + length {
        return Ok(None);
    }
    buf.advance(4);
    let bytes = buf.split_to(length);
    rmp_serde::from_slice(&bytes).map(Some).map_err(|e| e.to_string())
}
