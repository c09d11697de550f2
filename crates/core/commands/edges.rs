//! The edges of a process over HTTP.

use std::sync::Arc;

use foxtailhoist_platform::ClientSettings;
use foxtailhoist_platform::HttpBackend;
use foxtailhoist_platform::HttpHostList;
use foxtailhoist_platform::HttpObjectApi;
use foxtailhoist_platform::HttpPeers;
use foxtailhoist_platform::HttpRating;
use foxtailhoist_server::Edges;
use foxtailhoist_settings::PlatformAddresses;

use crate::failure::Failure;

/// HTTP clients for everything outside of an entry host.
///
/// # Errors
///
/// Refuses a peer key that cannot stand in a header.
pub fn http(
    host: &str,
    peer_key: &str,
    platform: &PlatformAddresses,
    settings: ClientSettings,
) -> Result<Edges, Failure> {
    let peers = HttpPeers::new(host.to_owned(), peer_key, settings)
        .ok_or_else(|| Failure::Settings("the peer key cannot stand in a header".to_owned()))?;
    Ok(Edges {
        objects: Arc::new(HttpObjectApi::new(platform.object_api, settings)),
        host_list: Arc::new(HttpHostList::new(platform.host_list, settings)),
        backends: Arc::new(HttpBackend::new(settings)),
        ratings: Arc::new(HttpRating::new(platform.rating, settings)),
        peers: Arc::new(peers),
    })
}
