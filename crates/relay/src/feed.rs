//! Takes the store's news from other entry hosts and hands it on to them.
//!
//! [`Feeds`](foxtailhoist_peers::feeds::Feeds) decides who watches the store and who takes the news from whom; this
//! module opens the connections that the plan asks for and closes the others.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_peers::feeds::HostEntry;
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
use rand::RngExt;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;
use tokio::task::spawn_local;

use crate::conn::Conn;
use crate::conn::set_options;
use crate::core::Core;
use crate::follow;
use crate::log_event::LogEvent;
use crate::mirror::Frame;
use crate::store::StoreClient;
use crate::wire::ObjectKind;

const FEED_PATH: &str = "/feed";
/// Pause between two beats to listeners.
const BEAT: Duration = Duration::from_millis(250);
/// Silence after which a source is given up: a lost one has to be replaced within the bound of a configuration.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(900);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause between two looks at the plan.
const PLAN_INTERVAL: Duration = Duration::from_millis(125);
/// Age from which on a source's news are old; above the wait of the watch for the configuration, also when the store
/// answers slowly, and within the bound of a configuration.
const AGE_MAX: Duration = Duration::from_millis(1_700);
/// Longest pause between two probes of the store while all sources' news are old.
const PROBE_INTERVAL: Duration = Duration::from_millis(2_500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for the hosts of a system that starts for the first time to enter themselves.
const SETTLE: Duration = Duration::from_millis(900);
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause before a failed registration is tried again.
const REGISTER_RETRY: Duration = Duration::from_millis(1_000);
/// Largest frame that is taken in.
const FRAME_MAX: usize = 16 * 1024 * 1024;

/// Connections to sources.
type Sources = BTreeMap<EntryHostId, AbortHandle>;

/// Enters this host, then keeps to the plan for as long as the process runs.
pub(crate) async fn run(core: Rc<Core>, is_first_start: bool) {
    let mut client = StoreClient::new(core.cfg.store);
    let mut is_registered = register(&core, &mut client, is_first_start).await;
    let mut registered_at = Instant::now();
    let mut sources = Sources::new();
    let mut beat_at = Instant::now();
    let mut probe_at = Instant::now();
    loop {
        let probes = follow_plan(&core, &mut sources);
        let now = Instant::now();
        if probes && now >= probe_at {
            probe_at = now + PROBE_INTERVAL.mul_f64(rand::rng().random_range(0.5..1.0));
            spawn_local(probe_store(core.clone()));
        }
        if now >= beat_at {
            core.mirror.publish(&Frame::Beat { age: core.mirror.age(now) });
            beat_at = now + BEAT;
        }
        let is_listed = core.feeds.borrow().entry(&core.cfg.host).is_some();
        if (!is_registered || !is_listed) && now >= registered_at + REGISTER_RETRY {
            is_registered = register(&core, &mut client, false).await;
            registered_at = Instant::now();
        }
        remove_abandoned(&core, &mut client, now).await;
        tokio::select! {
            () = tokio::time::sleep(PLAN_INTERVAL) => {}
            () = core.woke.notified() => {
                for (_, source) in std::mem::take(&mut sources) {
                    source.abort();
                }
            }
        }
    }
}

/// Serves the news to other entry hosts.
pub(crate) async fn serve(core: Rc<Core>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(PLAN_INTERVAL).await;
            continue;
        };
        if let Err(e) = set_options(&stream) {
            log::warn!("event=socket_options_refused reason={:?}", e.to_string());
        }
        let core = core.clone();
        spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let core = core.clone();
                async move { Ok::<_, Infallible>(answer(&core, &request)) }
            });
            // A listener that leaves needs no word.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

type News = http_body_util::Either<
    Full<Bytes>,
    http_body_util::combinators::UnsyncBoxBody<Bytes, Infallible>,
>;

fn answer(core: &Core, request: &Request<Incoming>) -> Response<News> {
    if request.uri().path() != FEED_PATH {
        let mut response = Response::new(News::Left(Full::default()));
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let (first, mut rx) = core.mirror.listen();
    let first = futures::stream::iter(first);
    let rest = futures::stream::poll_fn(move |cx| rx.poll_recv(cx));
    let frames = futures::StreamExt::chain(first, rest);
    let frames = futures::StreamExt::map(frames, |bytes| Ok(BodyFrame::data(bytes)));
    Response::new(News::Right(StreamBody::new(frames).boxed_unsync()))
}

/// Enters this host among the entry hosts and learns of the others; whether that succeeded.
async fn register(core: &Rc<Core>, client: &mut StoreClient, is_first_start: bool) -> bool {
    let entry = HostEntry { address: core.cfg.peers, data_centre: core.cfg.data_centre.clone() };
    if is_first_start {
        // Nobody is listed yet: all enter first and look afterwards.
        let request = core.wire.register_host(&core.cfg.host, &entry);
        if let Err(e) = client.call(request, STORE_TIMEOUT).await {
            log::warn!("event=host_not_registered reason={:?}", e.to_string());
        }
        tokio::time::sleep(SETTLE).await;
    }
    if let Err(e) = follow::list_once(core, client, ObjectKind::Hosts).await {
        log::warn!("event=hosts_not_listed reason={:?}", e.to_string());
        return false;
    }
    let listed = core.feeds.borrow().entry(&core.cfg.host).cloned();
    if listed.as_ref() == Some(&entry) {
        return true;
    }
    if listed.is_some() {
        // The host came back under its name at another address.
        let request = core.wire.remove_host(&core.cfg.host);
        if let Err(e) = client.call(request, STORE_TIMEOUT).await {
            log::warn!("event=host_not_removed reason={:?}", e.to_string());
            return false;
        }
    }
    let request = core.wire.register_host(&core.cfg.host, &entry);
    match client.call(request, STORE_TIMEOUT).await {
        Ok((status, _)) => {
            core.feeds.borrow_mut().add_host(core.cfg.host.clone(), entry);
            status.is_success() || status == StatusCode::CONFLICT
        }
        Err(e) => {
            log::warn!("event=host_not_registered reason={:?}", e.to_string());
            false
        }
    }
}

async fn remove_abandoned(core: &Rc<Core>, client: &mut StoreClient, now: Instant) {
    let abandoned = core.feeds.borrow().abandoned(now);
    for host in abandoned {
        core.feeds.borrow_mut().remove_host(&host);
        let outcome = client.call(core.wire.remove_host(&host), STORE_TIMEOUT).await;
        match outcome {
            Ok((status, _)) => log::info!("event=host_removed host={host} status={status}"),
            Err(e) => log::warn!("event=host_not_removed host={host} reason={:?}", e.to_string()),
        }
    }
}

/// Asks the store once for a configuration, to find out whether it can be reached from here.
async fn probe_store(core: Rc<Core>) {
    let mut client = StoreClient::new(core.cfg.store);
    let revision = core.mirror.revision(ObjectKind::Configuration).unwrap_or(0);
    let request = core.wire.watch(ObjectKind::Configuration, revision, Duration::from_millis(1));
    let answer = client.call(request, PROBE_TIMEOUT).await;
    core.metrics.store_call("probe");
    // Any answer but a refusal will do: the watch that follows reads what there is.
    if answer.is_ok_and(|(status, _)| status.is_success() || status == StatusCode::GONE) {
        core.feeds.borrow_mut().reached_store(Instant::now());
    }
}

/// Opens and closes connections as the plan says; whether the store is to be probed.
fn follow_plan(core: &Rc<Core>, sources: &mut Sources) -> bool {
    let plan = core.feeds.borrow().plan(Instant::now());
    let (fleet, near) = core.feeds.borrow().host_counts();
    core.dispatcher.borrow_mut().set_hosts(fleet, near);
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
        let task = || spawn_local(take_from(core.clone(), host.clone(), address)).abort_handle();
        sources.entry(host.clone()).or_insert_with(task);
    }
    plan.probes
}

/// Takes news from a source until it fails.
async fn take_from(core: Rc<Core>, host: EntryHostId, address: std::net::SocketAddr) {
    core.log.write(&LogEvent::Source { host: &host });
    let reason = match read_news(&core, &host, address).await {
        Ok(never) => match never {},
        Err(reason) => reason,
    };
    core.feeds.borrow_mut().source_failed(&host, Instant::now());
    core.log.write(&LogEvent::SourceLost { host: &host, reason: &reason });
}

async fn read_news(
    core: &Rc<Core>,
    host: &str,
    address: std::net::SocketAddr,
) -> Result<Infallible, String> {
    let mut conn = Conn::open(address, CONNECT_TIMEOUT).await.map_err(|e| e.to_string())?;
    let request = Request::get(FEED_PATH)
        .header(header::HOST, address.to_string())
        .body(Full::default())
        .map_err(|e| e.to_string())?;
    let late = |_| "silent".to_owned();
    let answer = tokio::time::timeout(SOURCE_TIMEOUT, conn.send(request)).await.map_err(late)?;
    let mut body = answer.map_err(|e| format!("{e:?}"))?.into_body();
    let begun = Instant::now();
    let mut buf = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(SOURCE_TIMEOUT, body.frame()).await.map_err(late)?;
        let frame = frame.ok_or("ended")?.map_err(|e| e.to_string())?;
        if let Ok(data) = frame.into_data() {
            buf.extend_from_slice(&data);
        }
        while let Some(frame) = split_frame(&mut buf)? {
            let Frame::Beat { age } = frame else {
                follow::take_frame(core, frame);
                continue;
            };
            // A source that has just started has no news yet.
            let now = Instant::now();
            let is_fresh = age.unwrap_or(now - begun) <= AGE_MAX;
            if let Some(fresh_at) = age.and_then(|age| now.checked_sub(age)) {
                core.mirror.set_fresh(fresh_at);
            }
            core.feeds.borrow_mut().source_active(host, is_fresh);
        }
    }
}

/// Takes a whole frame off the buffer, if there is one.
fn split_frame(buf: &mut BytesMut) -> Result<Option<Frame>, String> {
    if buf.len() < 4 {
        return Ok(None);
    }
    let length = u32::from_be_bytes([buf[0], buf[1], buf[2], buf[3]]) as usize;
    if length > FRAME_MAX {
        return Err(format!("a frame of {length} bytes"));
    }
    if buf.len() < 4 + length {
        return Ok(None);
    }
    buf.advance(4);
    let bytes = buf.split_to(length);
    rmp_serde::from_slice(&bytes).map(Some).map_err(|e| e.to_string())
}
