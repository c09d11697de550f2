//! HTTP clients of the host list and the rating service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foxtailhoist_model::Rating;
use futures::future::BoxFuture;

use crate::api::HostList;
use crate::api::HostListApi;
use crate::api::PlatformError;
use crate::api::RatingApi;
use crate::api::RatingRequest;
use crate::call;
use crate::client::ClientPools;
use crate::client::ClientSettings;

/// Timeout for a rating; the rating service normally takes seconds.
pub const RATING_TIMEOUT: Duration = Duration::from_secs(60);

/// Client of the host list: `GET /hosts`, a [`HostList`] as JSON.
#[derive(Clone, Debug)]
pub struct HttpHostList {
    address: SocketAddr,
    pools: Arc<ClientPools>,
}

/// Client of the rating service: `POST /ratings` with a [`RatingRequest`] as JSON, answered with a [`Rating`].
#[derive(Clone, Debug)]
pub struct HttpRating {
    address: SocketAddr,
    pools: Arc<ClientPools>,
}

impl HttpHostList {
    #[must_use]
    pub fn new(address: SocketAddr, settings: ClientSettings) -> HttpHostList {
        HttpHostList { address, pools: Arc::new(ClientPools::new(settings)) }
    }

    async fn read(&self) -> Result<HostList, PlatformError> {
        let request = self.pools.client(self.address).get(call::url(self.address, "/hosts"));
        let head_timeout = self.pools.settings().head_timeout();
        call::call(&self.pools, self.address, request, head_timeout).await?.json()
    }
}

impl HostListApi for HttpHostList {
    fn hosts(&self) -> BoxFuture<'_, Result<HostList, PlatformError>> {
        Box::pin(self.read())
    }
}

impl HttpRating {
    #[must_use]
    pub fn new(address: SocketAddr, settings: ClientSettings) -> HttpRating {
        HttpRating { address, pools: Arc::new(ClientPools::new(settings)) }
    }

    async fn request_rating(&self, rating: RatingRequest) -> Result<Rating, PlatformError> {
        let client = self.pools.client(self.address);
        let request = client.post(call::url(self.address, "/ratings")).json(&rating);
        call::call(&self.pools, self.address, request, RATING_TIMEOUT).await?.json()
    }
}

impl RatingApi for HttpRating {
    fn rate(&self, rating: RatingRequest) -> BoxFuture<'_, Result<Rating, PlatformError>> {
        Box::pin(self.request_rating(rating))
    }
}
