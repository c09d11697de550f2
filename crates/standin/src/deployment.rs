//! All stand-ins of one deployment: the platform's services, the engines and the plain services.
//!
//! ```no_run
//! # async fn example() -> std::io::Result<()> {
//! use foxtailhoist_standin::Deployment;
//! use foxtailhoist_standin::DeploymentSpec;
//!
//! let deployment = Deployment::start(DeploymentSpec::merrimack()).await?;
//! println!("object API at {}", deployment.addresses().object_api);
//! deployment.close().await;
//! # Ok(())
//! # }
//! ```

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use foxtailhoist_edge::HostList;
use foxtailhoist_model::BackendServer;
use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::ListedHost;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Presence;
use foxtailhoist_model::Serves;
use foxtailhoist_model::ServiceId;
use serde::Deserialize;
use serde::Serialize;

use crate::engine::EngineServer;
use crate::engine::EngineSpec;
use crate::host_list::HostListServer;
use crate::host_list::PresenceChange;
use crate::object_api::ObjectApiServer;
use crate::object_api::ObjectApiSpec;
use crate::plain_service::PlainServiceServer;
use crate::rating::RatingServer;
use crate::rating::RatingSpec;
use crate::weight_store::WeightStoreServer;
use crate::weight_store::WeightStoreSpec;

/// Stand-ins to start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DeploymentSpec {
    pub engines: Vec<EngineSpec>,
    pub services: Vec<ServiceSpec>,
    pub object_api: ObjectApiSpec,
    pub rating: RatingSpec,
    pub weight_store: WeightStoreSpec,
}

/// A server of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    pub id: BackendServerId,
    pub data_centre: DataCentreId,
    pub service: ServiceId,
}

/// Addresses of the running stand-ins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeploymentAddresses {
    pub object_api: SocketAddr,
    pub host_list: SocketAddr,
    pub rating: SocketAddr,
    pub weight_store: SocketAddr,
    /// Engines and plain services, as the host list shows them.
    pub backend_servers: Vec<BackendServer>,
}

/// Running stand-ins of a deployment.
#[derive(Debug)]
pub struct Deployment {
    pub object_api: ObjectApiServer,
    pub host_list: HostListServer,
    pub rating: RatingServer,
    pub weight_store: WeightStoreServer,
    /// In the order of the spec.
    pub engines: Vec<EngineServer>,
    /// In the order of the spec.
    pub services: Vec<PlainServiceServer>,
    backend_servers: Vec<BackendServer>,
}

/// Speed and answer quality of the engines of one model.
struct ModelProfile {
    model: &'static str,
    count: usize,
    prefill_tokens_per_second: f64,
    decode_ms: f64,
    decode_ms_per_extra: f64,
    acceptable: f64,
}

impl DeploymentSpec {
    /// The current Merrimack deployment: 12 engines and 3 servers of `crock-app` in 3 data centres.
    #[must_use]
    pub fn merrimack() -> DeploymentSpec {
        let data_centres = ["nashua", "lowell", "concord"];
        let profiles = model_profiles(["levain-small", "levain-mid", "levain-large"], [4, 3, 5]);
        DeploymentSpec::from_profiles(data_centres, &profiles, "crock-app")
    }

    /// The current Förbundet deployment: 9 engines and 3 servers of `order-desk` in 3 data centres.
    #[must_use]
    pub fn foerbundet() -> DeploymentSpec {
        let data_centres = ["sundsvall", "umea", "ornskoldsvik"];
        let profiles = model_profiles(["assist-small", "assist-mid", "assist-large"], [3, 3, 3]);
        DeploymentSpec::from_profiles(data_centres, &profiles, "order-desk")
    }

    /// Adds an engine.
    #[must_use]
    pub fn engine(mut self, engine: EngineSpec) -> DeploymentSpec {
        self.engines.push(engine);
        self
    }

    /// Adds a server of a plain service.
    #[must_use]
    pub fn service(mut self, service: ServiceSpec) -> DeploymentSpec {
        self.services.push(service);
        self
    }

    /// Every engine has versions `v1` and `v2` of its model; one in three ignores fencing numbers.
    fn from_profiles(
        data_centres: [&str; 3],
        profiles: &[ModelProfile],
        service: &str,
    ) -> DeploymentSpec {
        let models =
            profiles.iter().flat_map(|profile| std::iter::repeat_n(profile, profile.count));
        let data_centres_in_turn = data_centres.iter().cycle();
        let engines = models
            .zip(data_centres_in_turn)
            .enumerate()
            .map(|(index, (profile, data_centre))| profile.engine(index, data_centre));
        let services = data_centres.iter().map(|data_centre| ServiceSpec {
            id: format!("{service}-{data_centre}"),
            data_centre: (*data_centre).to_owned(),
            service: service.to_owned(),
        });
        DeploymentSpec {
            engines: engines.collect(),
            services: services.collect(),
            ..DeploymentSpec::default()
        }
    }
}

impl ModelProfile {
    fn engine(&self, index: usize, data_centre: &str) -> EngineSpec {
        let versions = ["v1", "v2"].map(|version| ModelVersion::new(self.model, version));
        EngineSpec {
            id: format!("{}-{index}", self.model),
            data_centre: data_centre.to_owned(),
            loaded: versions.into(),
            checks_fencing: index % 3 != 2,
            prefill_tokens_per_second: self.prefill_tokens_per_second,
            decode_ms: self.decode_ms,
            decode_ms_per_extra: self.decode_ms_per_extra,
            acceptable: self.acceptable,
            seed: index as u64,
            ..EngineSpec::default()
        }
    }
}

impl Deployment {
    /// Starts all stand-ins on free loopback ports.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub async fn start(spec: DeploymentSpec) -> io::Result<Deployment> {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let weight_store = WeightStoreServer::start(any_port, spec.weight_store).await?;
        let mut backend_servers = Vec::new();
        let mut engines = Vec::new();
        for engine in spec.engines {
            let weight_store_address = Some(weight_store.address());
            let engine = EngineServer::start(any_port, engine, weight_store_address).await?;
            backend_servers.push(listed_engine(&engine));
            engines.push(engine);
        }
        let mut services = Vec::new();
        for service in spec.services {
            let server = PlainServiceServer::start(any_port).await?;
            backend_servers.push(listed_service(service, server.address()));
            services.push(server);
        }
        let list = HostList { entry_hosts: Vec::new(), backend_servers: backend_servers.clone() };
        Ok(Deployment {
            object_api: ObjectApiServer::start(any_port, spec.object_api).await?,
            host_list: HostListServer::start(any_port, list).await?,
            rating: RatingServer::start(any_port, spec.rating).await?,
            weight_store,
            engines,
            services,
            backend_servers,
        })
    }

    #[must_use]
    pub fn addresses(&self) -> DeploymentAddresses {
        DeploymentAddresses {
            object_api: self.object_api.address(),
            host_list: self.host_list.address(),
            rating: self.rating.address(),
            weight_store: self.weight_store.address(),
            backend_servers: self.backend_servers.clone(),
        }
    }

    /// Replaces the entry hosts on the host list.
    pub fn set_entry_hosts(&self, entry_hosts: Vec<ListedHost>) {
        self.host_list.set_entry_hosts(entry_hosts);
    }

    /// Marks a host on the host list as leaving. Returns whether the list contains it.
    pub fn mark_leaving(&self, id: &str) -> bool {
        let change = PresenceChange { id: id.to_owned(), presence: Presence::Leaving };
        self.host_list.set_presence(&change)
    }

    /// Stops all stand-ins.
    pub async fn close(self) {
        self.object_api.close().await;
        self.host_list.close().await;
        self.rating.close().await;
        self.weight_store.close().await;
        for engine in self.engines {
            engine.close().await;
        }
        for service in self.services {
            service.close().await;
        }
    }
}

fn model_profiles(models: [&'static str; 3], counts: [usize; 3]) -> [ModelProfile; 3] {
    let [small, mid, large] = models;
    let [small_count, mid_count, large_count] = counts;
    [
        ModelProfile {
            model: small,
            count: small_count,
            prefill_tokens_per_second: 24_000.0,
            decode_ms: 8.0,
            decode_ms_per_extra: 0.15,
            acceptable: 0.82,
        },
        ModelProfile {
            model: mid,
            count: mid_count,
            prefill_tokens_per_second: 12_000.0,
            decode_ms: 14.0,
            decode_ms_per_extra: 0.25,
            acceptable: 0.92,
        },
        ModelProfile {
            model: large,
            count: large_count,
            prefill_tokens_per_second: 6_000.0,
            decode_ms: 22.0,
            decode_ms_per_extra: 0.4,
            acceptable: 0.96,
        },
    ]
}

fn listed_engine(engine: &EngineServer) -> BackendServer {
    let spec = engine.spec();
    BackendServer {
        id: spec.id.clone(),
        address: engine.address(),
        data_centre: spec.data_centre.clone(),
        presence: Presence::Live,
        serves: Serves::Engine { loaded: spec.loaded.clone(), slots: spec.slots },
        checks_fencing: spec.checks_fencing,
    }
}

fn listed_service(spec: ServiceSpec, address: SocketAddr) -> BackendServer {
    BackendServer {
        id: spec.id,
        address,
        data_centre: spec.data_centre,
        presence: Presence::Live,
        serves: Serves::Service(spec.service),
        checks_fencing: false,
    }
}
