//! Clients of the services outside the process.

use std::net::SocketAddr;
use std::sync::Arc;

use foxtailhoist_edge::BackendApi;
use foxtailhoist_edge::ClientSettings;
use foxtailhoist_edge::HostListApi;
use foxtailhoist_edge::HttpBackend;
use foxtailhoist_edge::HttpHostList;
use foxtailhoist_edge::HttpObjectApi;
use foxtailhoist_edge::HttpPeers;
use foxtailhoist_edge::HttpRating;
use foxtailhoist_edge::ObjectApi;
use foxtailhoist_edge::PeerApi;
use foxtailhoist_edge::RatingApi;

/// Clients of all services that an entry host uses.
#[derive(Clone)]
pub struct Clients {
    pub objects: Arc<dyn ObjectApi>,
    pub host_list: Arc<dyn HostListApi>,
    pub backends: Arc<dyn BackendApi>,
    pub ratings: Arc<dyn RatingApi>,
    pub peers: Arc<dyn PeerApi>,
}

/// Addresses of the platform's services.
#[derive(Clone, Copy, Debug)]
pub struct PlatformAddresses {
    pub object_api: SocketAddr,
    pub host_list: SocketAddr,
    pub rating: SocketAddr,
}

impl Clients {
    /// Creates HTTP clients for all services. `None` if the peer key is not a valid header value.
    #[must_use]
    pub fn http(
        host: &str,
        peer_key: &str,
        platform: PlatformAddresses,
        settings: ClientSettings,
    ) -> Option<Clients> {
        Some(Clients {
            objects: Arc::new(HttpObjectApi::new(platform.object_api, settings)),
            host_list: Arc::new(HttpHostList::new(platform.host_list, settings)),
            backends: Arc::new(HttpBackend::new(settings)),
            ratings: Arc::new(HttpRating::new(platform.rating, settings)),
            peers: Arc::new(HttpPeers::new(host.to_owned(), peer_key, settings)?),
        })
    }
}
