//! The edges of the process that the server works through.

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
