//! The edges of the process that the server works through.

use std::net::SocketAddr;
use std::sync::Arc;

use foxtailhoist_platform::BackendApi;
use foxtailhoist_platform::ClientSettings;
use foxtailhoist_platform::HostListApi;
use foxtailhoist_platform::HttpBackend;
use foxtailhoist_platform::HttpHostList;
use foxtailhoist_platform::HttpObjectApi;
use foxtailhoist_platform::HttpPeers;
use foxtailhoist_platform::HttpRating;
use foxtailhoist_platform::ObjectApi;
use foxtailhoist_platform::PeerApi;
use foxtailhoist_platform::RatingApi;

/// The edges of the process.
#[derive(Clone)]
pub struct Edges {
    pub objects: Arc<dyn ObjectApi>,
    pub host_list: Arc<dyn HostListApi>,
    pub backends: Arc<dyn BackendApi>,
    pub ratings: Arc<dyn RatingApi>,
    pub peers: Arc<dyn PeerApi>,
}

/// Where the platform's services are.
#[derive(Clone, Copy, Debug)]
pub struct Platform {
    pub object_api: SocketAddr,
    pub host_list: SocketAddr,
    pub rating: SocketAddr,
}

impl Edges {
    /// HTTP clients for everything outside of an entry host. `None` if the peer key cannot stand in a header.
    #[must_use]
    pub fn http(
        host: &str,
        peer_key: &str,
        platform: Platform,
        settings: ClientSettings,
    ) -> Option<Edges> {
        Some(Edges {
            objects: Arc::new(HttpObjectApi::new(platform.object_api, settings)),
            host_list: Arc::new(HttpHostList::new(platform.host_list, settings)),
            backends: Arc::new(HttpBackend::new(settings)),
            ratings: Arc::new(HttpRating::new(platform.rating, settings)),
            peers: Arc::new(HttpPeers::new(host.to_owned(), peer_key, settings)?),
        })
    }
}
