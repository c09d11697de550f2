//! Counters and latency histograms of one entry host, as text for scraping.

use std::time::Duration;

use foxtailhoist_report::scrape::MetricsExporter;
use foxtailhoist_report::scrape::MetricsExporterError;
use foxtailhoist_route::view::estimate::ViewState;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::UpDownCounter;

/// Instruments of one process. Label values come from closed lists, so the number of series is bounded.
pub struct Metrics {
    scrape: MetricsExporter,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    first_byte: Histogram<f64>,
    store_calls: Counter<u64>,
    servers_lost: Counter<u64>,
    servers_died: Counter<u64>,
    services_cut_off: Counter<u64>,
    handed_over: Counter<u64>,
    server_limits: Counter<u64>,
    cold_servers: UpDownCounter<i64>,
    cold_requests: Counter<u64>,
    services_short: Counter<u64>,
    quarantines: Counter<u64>,
    crashes_cleared: Counter<u64>,
    crash_news_bytes: Counter<u64>,
    streams_broken: Counter<u64>,
    callers_closed: Counter<u64>,
    evacuated_data_centres: Gauge<u64>,
    evacuations_age: Gauge<f64>,
    unreadable_evacuations: Counter<u64>,
    view_bytes: Counter<u64>,
    view_age: Gauge<f64>,
    known_speeds: Gauge<u64>,
    cached_tokens: Gauge<u64>,
    memory_refused: Counter<u64>,
    memory_held: Gauge<u64>,
    memory_largest_owner: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be registered.
    pub fn new() -> Result<Metrics, MetricsExporterError> {
        let scrape = MetricsExporter::new()?;
        let meter = scrape.meter();
        Ok(Metrics {
            requests: meter.u64_counter("relay_requests").build(),
            attempts: meter.u64_counter("relay_attempts").build(),
            first_byte: meter.f64_histogram("relay_first_byte_seconds").build(),
            store_calls: meter.u64_counter("relay_store_calls").build(),
            servers_lost: meter.u64_counter("relay_servers_lost").build(),
            services_cut_off: meter.u64_counter("relay_services_cut_off").build(),
            handed_over: meter.u64_counter("relay_requests_handed_over").build(),
            servers_died: meter.u64_counter("relay_servers_died").build(),
            cold_servers: meter.i64_up_down_counter("relay_cold_servers").build(),
            cold_requests: meter.u64_counter("relay_cold_server_requests").build(),
            services_short: meter.u64_counter("relay_services_short_seconds").build(),
            server_limits: meter.u64_counter("relay_server_limits").build(),
            quarantines: meter.u64_counter("relay_quarantines").build(),
            crashes_cleared: meter.u64_counter("relay_crashes_cleared").build(),
            crash_news_bytes: meter.u64_counter("relay_crash_news_bytes").build(),
            streams_broken: meter.u64_counter("relay_streams_broken").build(),
            callers_closed: meter.u64_counter("relay_callers_closed").build(),
            evacuated_data_centres: meter.u64_gauge("relay_evacuated_data_centres").build(),
            evacuations_age: meter.f64_gauge("relay_evacuations_age_seconds").build(),
            unreadable_evacuations: meter.u64_counter("relay_evacuations_unreadable").build(),
            view_bytes: meter.u64_counter("relay_view_bytes").build(),
            view_age: meter.f64_gauge("relay_view_age_seconds").build(),
            known_speeds: meter.u64_gauge("relay_view_known_speeds").build(),
            cached_tokens: meter.u64_gauge("relay_view_cached_tokens").build(),
            memory_refused: meter.u64_counter("relay_memory_refused").build(),
            memory_held: meter.u64_gauge("relay_memory_held_bytes").build(),
            memory_largest_owner: meter.u64_gauge("relay_memory_largest_owner_bytes").build(),
            scrape,
        })
    }

    /// Counts a request that ended; `outcome` is `answered`, `caller_left`, `cut`, `stream_broken` or a kind of
    /// refusal.
    pub fn request(&self, outcome: &'static str) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts an attempt that ended; `outcome` is the name of an
    /// [`AttemptOutcome`](foxtailhoist_route::in_flight::AttemptOutcome).
    pub fn attempt(&self, outcome: &'static str) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the time from a request's arrival until the answer can be sent to the caller: after the head of a stream,
    /// after the complete body of another answer.
    pub fn first_byte(&self, elapsed: Duration, is_stream: bool) {
        let kind = if is_stream { "stream" } else { "plain" };
        self.first_byte.record(elapsed.as_secs_f64(), &[KeyValue::new("kind", kind)]);
    }

    /// Counts a call to the store; `outcome` is `list`, `watch` or `write` for an answered call, `probe` for any probe, and
    /// `failed` for any other call that failed. Host registrations and suspect reports are not counted.
    pub fn store_call(&self, outcome: &'static str) {
        self.store_calls.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a backend server that a probe could not reach.
    pub fn server_lost(&self) {
        self.servers_lost.add(1, &[]);
    }

    /// Counts that the servers of a service went out of reach.
    pub fn cut_off(&self) {
        self.services_cut_off.add(1, &[]);
    }

    /// Counts a request that another entry host answered for this one.
    pub fn handed_over(&self) {
        self.handed_over.add(1, &[]);
    }

    /// Counts a backend server that was found dead after it had broken answers of this host.
    pub fn server_died(&self) {
        self.servers_died.add(1, &[]);
    }

    /// Counts a server that became cold.
    pub fn server_cold(&self) {
        self.cold_servers.add(1, &[]);
    }

    /// Counts a cold server that is warm or gone.
    pub fn server_warm(&self) {
        self.cold_servers.add(-1, &[]);
    }

    /// Counts a request that was `sent` to a cold server, or `refused` while cold servers had no room.
    pub fn cold_request(&self, outcome: &'static str) {
        self.cold_requests.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a limit that a server named, changed or ended.
    pub fn server_limited(&self) {
        self.server_limits.add(1, &[]);
    }

    /// Counts a second in which a service was short of capacity and divided between workspaces.
    pub fn service_short(&self) {
        self.services_short.add(1, &[]);
    }

    /// Counts a culprit that was quarantined because of crashes; `kind` is `content` or `part`.
    pub fn quarantined(&self, kind: &'static str) {
        self.quarantines.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts crashes of which an answer cleared a culprit; `kind` is `content` or `part`.
    pub fn crashes_cleared(&self, kind: &'static str, crashes: usize) {
        let crashes = u64::try_from(crashes).unwrap_or(u64::MAX);
        self.crashes_cleared.add(crashes, &[KeyValue::new("kind", kind)]);
    }

    /// Counts the bytes of a message on crashes to another host, its head excluded.
    pub fn crash_news_sent(&self, bytes: usize) {
        self.crash_news_bytes.add(u64::try_from(bytes).unwrap_or(u64::MAX), &[]);
    }

    /// Counts a stream that could not be completed; `reason` is a kind of refusal or `plain_answer`.
    pub fn stream_broken(&self, reason: &'static str) {
        self.streams_broken.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a caller's connection that this host closes; `reason` is `header_timeout`, `idle_timeout`, `unread`, `too_many`,
    /// `stopping` or `grace_over`.
    pub fn caller_closed(&self, reason: &'static str) {
        self.callers_closed.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Sets the number of evacuated data centres, `known` with servers and `unknown` without any, and the time since that
    /// last matched the store.
    pub fn evacuations(&self, known: usize, unknown: usize, age: Option<Duration>) {
        for (name, count) in [("known", known), ("unknown", unknown)] {
            let count = u64::try_from(count).unwrap_or(u64::MAX);
            self.evacuated_data_centres.record(count, &[KeyValue::new("data_centre", name)]);
        }
        if let Some(age) = age {
            self.evacuations_age.record(age.as_secs_f64(), &[]);
        }
    }

    /// Counts an update of an evacuation whose object cannot be read; it evacuates all the same.
    pub fn evacuation_unreadable(&self) {
        self.unreadable_evacuations.add(1, &[]);
    }

    /// Counts the bytes of a message of the shared view to another host, its head excluded.
    pub fn view_sent(&self, bytes: usize) {
        self.view_bytes.add(u64::try_from(bytes).unwrap_or(u64::MAX), &[]);
    }

    /// Records the state of the shared view: the age of the digest, -1 without one that can be used, servers of known
    /// speed, and tokens expected to be cached.
    pub fn view_state(&self, state: &ViewState) {
        self.view_age.record(state.age.map_or(-1.0, |age| age.as_secs_f64()), &[]);
        self.known_speeds.record(u64::try_from(state.known_speeds).unwrap_or(u64::MAX), &[]);
        self.cached_tokens.record(state.cached_tokens, &[]);
    }

    /// Counts what was refused because a holder of memory was over its part; `reason` is the holder's name.
    pub fn memory_refused(&self, reason: &'static str) {
        self.memory_refused.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Records what a holder of memory holds.
    pub fn memory_held(&self, holder: &'static str, bytes: u64) {
        self.memory_held.record(bytes, &[KeyValue::new("holder", holder)]);
    }

    /// Records the bytes of the owner whose bodies hold most.
    pub fn memory_largest_owner(&self, bytes: u64) {
        self.memory_largest_owner.record(bytes, &[]);
    }

    /// The metrics page for scraping.
    ///
    /// # Errors
    ///
    /// Fails if a metric family cannot be encoded.
    pub fn page(&self) -> Result<Vec<u8>, MetricsExporterError> {
        self.scrape.page()
    }
}
