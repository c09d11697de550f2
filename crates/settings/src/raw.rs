//! Sections of the settings as written in the file, before their texts are parsed.
//!
//! Addresses and durations are still text here and keys are not fetched yet, so that all faults of a section are
//! reported together.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ListedHost;
use foxtailhoist_model::OperatorId;
use foxtailhoist_model::Presence;
use serde::Deserialize;

use crate::duration::DURATION_EXPECTED;
use crate::duration::parse_duration;
use crate::process::Keys;
use crate::process::Listen;
use crate::process::PlatformAddresses;
use crate::process::Timeouts;
use crate::secret::KeySource;
use crate::secret::Secret;
use crate::source::Source;
use crate::tree::FieldPath;

const ADDRESS_EXPECTED: &str = "an IP address and a port, such as 10.0.0.1:7000";
/// Smallest number of operators: a change needs one who proposes it and another who approves it.
const OPERATORS_MIN: usize = 2;
const KEY_EXPECTED: &str = "a key of at least 16 printable ASCII characters without spaces";

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawListen {
    callers: String,
    operators: String,
    peers: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawSeed {
    host: EntryHostId,
    data_centre: DataCentreId,
    address: String,
}

impl RawSeed {
    fn into_host(self, address: SocketAddr) -> ListedHost {
        let RawSeed { host, data_centre, .. } = self;
        ListedHost { id: host, address, data_centre, presence: Presence::Live }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawPlatform {
    object_api: String,
    host_list: String,
    rating: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawKeys {
    peer: KeySource,
    session: KeySource,
    #[serde(default)]
    previous_session: Option<KeySource>,
    operators: BTreeMap<OperatorId, KeySource>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RawTimeouts {
    connect: Option<RawDuration>,
    head: Option<RawDuration>,
    idle: Option<RawDuration>,
    probe: Option<RawDuration>,
    request_read: Option<RawDuration>,
    stop: Option<RawDuration>,
}

/// A duration as written in the file. A number without a unit is kept, so that its fault names the field.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum RawDuration {
    Text(String),
    Unsigned(u64),
    Signed(i64),
    Float(f64),
}

impl RawListen {
    pub(crate) fn parse(&self, source: &mut Source) -> Option<Listen> {
        let path = FieldPath::default().key("listen");
        let callers = parse_address(&self.callers, path.key("callers"), source);
        let operators = parse_address(&self.operators, path.key("operators"), source);
        let peers = parse_address(&self.peers, path.key("peers"), source);
        Some(Listen { callers: callers?, operators: operators?, peers: peers? })
    }
}

impl RawPlatform {
    pub(crate) fn parse(&self, source: &mut Source) -> Option<PlatformAddresses> {
        let path = FieldPath::default().key("platform");
        let object_api = parse_address(&self.object_api, path.key("object_api"), source);
        let host_list = parse_address(&self.host_list, path.key("host_list"), source);
        let rating = parse_address(&self.rating, path.key("rating"), source);
        Some(PlatformAddresses { object_api: object_api?, host_list: host_list?, rating: rating? })
    }
}

impl RawKeys {
    pub(crate) fn parse(&self, source: &mut Source) -> Option<Keys> {
        let path = FieldPath::default().key("keys");
        let peer = fetch_key(&self.peer, path.key("peer"), source);
        let session = fetch_key(&self.session, path.key("session"), source);
        let previous_session = self
            .previous_session
            .as_ref()
            .and_then(|key| fetch_key(key, path.key("previous_session"), source));
        if self.operators.len() < OPERATORS_MIN {
            let found = self.operators.len().to_string();
            let expected = "at least 2 operators: one proposes and another approves";
            source.report(path.key("operators"), &found, expected);
        }
        let mut operators = BTreeMap::new();
        for (name, key) in &self.operators {
            if let Some(key) = fetch_key(key, path.key("operators").key(name), source) {
                operators.insert(name.clone(), key);
            }
        }
        Some(Keys { peer: peer?, session: session?, previous_session, operators })
    }
}

impl RawTimeouts {
    pub(crate) fn parse(&self, source: &mut Source) -> Timeouts {
        let path = FieldPath::default().key("timeouts");
        let mut read = |name: &str, raw: &Option<RawDuration>, default: Duration| {
            let Some(raw) = raw else { return default };
            raw.duration().unwrap_or_else(|| {
                source.report(path.key(name), &raw.found(), DURATION_EXPECTED);
                default
            })
        };
        let defaults = Timeouts::default();
        Timeouts {
            connect: read("connect", &self.connect, defaults.connect),
            head: read("head", &self.head, defaults.head),
            idle: read("idle", &self.idle, defaults.idle),
            probe: read("probe", &self.probe, defaults.probe),
            request_read: read("request_read", &self.request_read, defaults.request_read),
            stop: read("stop", &self.stop, defaults.stop),
        }
    }
}

impl RawDuration {
    fn duration(&self) -> Option<Duration> {
        match self {
            RawDuration::Text(text) => parse_duration(text),
            RawDuration::Unsigned(_) | RawDuration::Signed(_) | RawDuration::Float(_) => None,
        }
    }

    fn found(&self) -> String {
        match self {
            RawDuration::Text(text) => format!("'{text}'"),
            RawDuration::Unsigned(number) => format!("{number} without a unit"),
            RawDuration::Signed(number) => format!("{number} without a unit"),
            RawDuration::Float(number) => format!("{number} without a unit"),
        }
    }
}

/// Parses the address at which peers reach this host. Unlike a listening address, it must not be unspecified.
pub(crate) fn parse_advertise(text: &str, source: &mut Source) -> Option<SocketAddr> {
    let path = FieldPath::default().key("advertise");
    let address = parse_address(text, path.clone(), source)?;
    if address.ip().is_unspecified() || address.port() == 0 {
        source.report(path, &format!("'{text}'"), "an address that peers can connect to");
        return None;
    }
    Some(address)
}

pub(crate) fn parse_seeds(raw_seeds: Vec<RawSeed>, source: &mut Source) -> Vec<ListedHost> {
    let path = FieldPath::default().key("seeds");
    let mut seeds = Vec::new();
    for (index, raw) in raw_seeds.into_iter().enumerate() {
        let address = parse_address(&raw.address, path.index(index).key("address"), source);
        seeds.extend(address.map(|address| raw.into_host(address)));
    }
    seeds
}

fn parse_address(text: &str, path: FieldPath, source: &mut Source) -> Option<SocketAddr> {
    let address = text.parse().ok();
    if address.is_none() {
        source.report(path, &format!("'{text}'"), ADDRESS_EXPECTED);
    }
    address
}

fn fetch_key(key: &KeySource, path: FieldPath, source: &mut Source) -> Option<Secret> {
    match key.fetch() {
        Ok(secret) => Some(secret),
        Err(found) => {
            source.report(path, &found, KEY_EXPECTED);
            None
        }
    }
}
