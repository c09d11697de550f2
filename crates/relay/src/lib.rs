//! Relays HTTP requests between callers and backend servers.
//!
//! The relay does the I/O and runs the timers. [`Dispatcher`] decides what to do with a request,
//! [`Shift`](foxtailhoist_rollout::shift::Shift) when a version takes traffic, and an implementation of [`Wire`]
//! translates wire formats. Everything runs on one thread: an entry host has a fraction of a core.

mod answer_memory;
mod attempt;
mod caller_conn;
mod clock;
mod conn;
mod core;
mod duties;
mod feed;
mod follow;
mod gossip;
mod hand_over;
mod listen;
pub mod log_buffer;
pub mod log_event;
pub mod memory;
mod metrics;
mod mirror;
mod request_guard;
mod serve;
mod shares;
pub mod sse;
mod store;
mod store_availability;
mod stream;
mod view;
pub mod watch_waits;
pub mod wire;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_report::scrape::MetricsExporterError;
use foxtailhoist_route::dispatch::DispatchConfig;
use foxtailhoist_route::dispatch::Dispatcher;
use http::StatusCode;
use thiserror::Error;
use tokio::task::spawn_local;

use crate::caller_conn::CloseReason;
pub use crate::conn::Connect;
pub use crate::conn::TcpConnect;
use crate::core::Core;
pub use crate::core::RelayConfig;
use crate::log_event::LogEvent;
use crate::memory::Holder;
use crate::metrics::Metrics;
use crate::wire::Wire;

/// Time after the stop signal in which idle connections still take requests: the load balancer stops sending new ones
/// only after two failed readiness checks, a second apart.
const STOP_LINGER: Duration = Duration::from_millis(3_000);
/// How long before the kill the process exits by itself.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// Maximum number of lines about requests that are cut by the end of the grace period; `stopped` has their number.
const MAX_CUT_LINES: usize = 64;

/// Why the relay could not start.
#[derive(Debug, Error)]
pub enum StartError {
    #[error("cannot listen on {address}: {source}")]
    Listen { address: SocketAddr, source: std::io::Error },
    #[error(transparent)]
    Metrics(#[from] MetricsExporterError),
}

/// A running relay. It must be started inside a `LocalSet`.
pub struct Relay {
    core: Rc<Core>,
}

impl Relay {
    /// Opens the listeners and starts following the store.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be listened on or the metrics exporter cannot be registered.
    pub fn start(
        cfg: RelayConfig,
        dispatch: DispatchConfig,
        wire: Box<dyn Wire>,
    ) -> Result<Relay, StartError> {
        Relay::start_with(cfg, dispatch, wire, Box::new(TcpConnect))
    }

    /// As [`Relay::start`], with another way to connect to backend servers.
    ///
    /// # Errors
    ///
    /// As [`Relay::start`].
    pub fn start_with(
        mut cfg: RelayConfig,
        dispatch: DispatchConfig,
        wire: Box<dyn Wire>,
        connect: Box<dyn Connect>,
    ) -> Result<Relay, StartError> {
        let metrics = Metrics::new()?;
        let callers = bind(cfg.callers)?;
        let readiness = bind(cfg.readiness)?;
        let peers = bind(cfg.peers)?;
        let scrape = cfg.metrics.map(bind).transpose()?;
        // Port 0 in the settings stands for any free port.
        cfg.callers = local_address(&callers, cfg.callers);
        cfg.readiness = local_address(&readiness, cfg.readiness);
        cfg.peers = local_address(&peers, cfg.peers);
        let core = Core::new(cfg, wire, connect, Dispatcher::new(dispatch), metrics);
        core.log
            .write(&LogEvent::Started { host: &core.cfg.host, data_centre: &core.cfg.data_centre });
        for kind in core.kinds() {
            spawn_local(follow::follow(core.clone(), kind));
        }
        spawn_local(feed::run(core.clone(), core.cfg.is_first_start));
        spawn_local(feed::serve(core.clone(), peers));
        spawn_local(gossip::run(core.clone()));
        spawn_local(gossip::run_news(core.clone()));
        spawn_local(shares::run(core.clone()));
        spawn_local(duties::run_periodic(core.clone()));
        spawn_local(view::run(core.clone()));
        spawn_local(duties::report_suspects(core.clone()));
        spawn_local(listen::accept_callers(core.clone(), callers));
        spawn_local(listen::serve_pages(readiness, readiness_page(core.clone())));
        if let Some(scrape) = scrape {
            spawn_local(listen::serve_pages(scrape, metrics_page(core.clone())));
        }
        Ok(Relay { core })
    }

    /// The settings in force, with the ports actually bound.
    #[must_use]
    pub fn config(&self) -> &RelayConfig {
        &self.core.cfg
    }

    /// Reloads settings: retry limits, confidence floors and the grace period apply at once; changed settings that need
    /// a restart are named in the log.
    pub fn reload(&self, cfg: &RelayConfig, dispatch: DispatchConfig) {
        self.core.grace.set(cfg.grace);
        self.core.dispatcher.borrow_mut().reload(dispatch);
        let needs_restart = self.core.cfg.needs_restart(cfg);
        self.core.log.write(&LogEvent::Reloaded { needs_restart: &needs_restart });
    }

    /// Logs that new settings are invalid; the old ones stay in force.
    pub fn refuse_reload(&self, reason: &str) {
        self.core.log.write(&LogEvent::ReloadRefused { reason });
    }

    /// Shuts down: reports not ready, finishes requests in progress, and returns before the process would be killed.
    pub async fn close(self) {
        let core = self.core;
        core.stopping.set(true);
        core.log.write(&LogEvent::Stopping);
        let grace = core.grace.get().saturating_sub(STOP_MARGIN);
        let linger = STOP_LINGER.min(grace);
        let now = Instant::now();
        core.dispatcher.borrow_mut().stop(now + linger, now + grace);
        let finish = async {
            tokio::time::sleep(linger).await;
            core.closing.send_replace(true);
            while !core.callers.is_empty() {
                core.all_closed.notified().await;
            }
        };
        // Requests still running at the end of the grace period would be cut off by the kill anyway.
        let _ = tokio::time::timeout(grace, finish).await;
        core.closed.set(true);
        let cut = core.callers.in_progress();
        for conn in cut.iter().take(MAX_CUT_LINES) {
            core.log_caller_closed(conn, CloseReason::GraceOver);
        }
        core.log.write(&LogEvent::Stopped { open: core.callers.len(), cut: cut.len() });
    }
}

fn bind(address: SocketAddr) -> Result<tokio::net::TcpListener, StartError> {
    listen::bind(address).map_err(|source| StartError::Listen { address, source })
}

fn local_address(listener: &tokio::net::TcpListener, wanted: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(wanted)
}

fn readiness_page(core: Rc<Core>) -> impl Fn(&str) -> (StatusCode, Vec<u8>) + Clone {
    move |path| {
        if path != core.wire.ready_path() {
            return (StatusCode::NOT_FOUND, Vec::new());
        }
        if core.is_ready() {
            (StatusCode::OK, b"ready\n".to_vec())
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, b"not ready\n".to_vec())
        }
    }
}

fn metrics_page(core: Rc<Core>) -> impl Fn(&str) -> (StatusCode, Vec<u8>) + Clone {
    move |_| {
        for holder in Holder::ALL {
            core.metrics.memory_held(holder.name(), core.memory.held(holder));
        }
        core.metrics.memory_held("answers", core.answer_memory.counted() as u64);
        core.metrics.memory_largest_owner(core.memory.largest_owner());
        match core.metrics.page() {
            Ok(page) => (StatusCode::OK, page),
            Err(e) => (StatusCode::INTERNAL_SERVER_ERROR, e.to_string().into_bytes()),
        }
    }
}
