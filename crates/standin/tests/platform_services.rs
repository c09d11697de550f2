//! Host list, rating service and weight store, and a complete deployment.

mod common;

use std::net::SocketAddr;

use foxtailhoist_edge::BackendApi;
use foxtailhoist_edge::HostListApi;
use foxtailhoist_edge::HttpHostList;
use foxtailhoist_edge::HttpRating;
use foxtailhoist_edge::PlatformError;
use foxtailhoist_edge::RatingApi;
use foxtailhoist_edge::RatingRequest;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EngineOrder;
use foxtailhoist_model::EngineRole;
use foxtailhoist_model::ListedHost;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::OrderedState;
use foxtailhoist_model::Presence;
use foxtailhoist_standin::Deployment;
use foxtailhoist_standin::DeploymentSpec;
use foxtailhoist_standin::HostListFaults;
use foxtailhoist_standin::RatingFaults;
use foxtailhoist_standin::RatingServer;
use foxtailhoist_standin::RatingSpec;
use foxtailhoist_standin::ServiceSpec;
use foxtailhoist_standin::UNACCEPTABLE_MARK;
use foxtailhoist_standin::WeightStoreSpec;
use rstest::rstest;

use common::ANY_PORT;
use common::client;
use common::short_timeouts;
use common::version;

#[rstest]
#[case::merrimack(DeploymentSpec::merrimack(), 12)]
#[case::foerbundet(DeploymentSpec::foerbundet(), 9)]
#[tokio::test]
async fn a_deployment_lists_its_hosts_with_a_lag(
    #[case] spec: DeploymentSpec,
    #[case] engines: usize,
) {
    let deployment = Deployment::start(spec).await.unwrap();
    let hosts = HttpHostList::new(deployment.addresses().host_list, short_timeouts());
    let listed = hosts.hosts().await.unwrap();
    assert_eq!(listed.backend_servers, deployment.addresses().backend_servers);
    assert_eq!((deployment.engines.len(), deployment.services.len()), (engines, 3));

    let host = ListedHost {
        id: "entry-1".to_owned(),
        address: SocketAddr::from(ANY_PORT),
        data_centre: DataCentreId::from("nashua"),
        presence: Presence::Live,
    };
    deployment.set_entry_hosts(vec![host.clone()]);
    assert_eq!(hosts.hosts().await.unwrap().entry_hosts, [host]);

    let faults = HostListFaults { lag_ms: 3_600_000, down: false };
    deployment.host_list.set_faults(faults);
    assert!(deployment.mark_leaving("entry-1") && !deployment.mark_leaving("nobody"));
    assert!(hosts.hosts().await.unwrap().entry_hosts.is_empty());
    deployment.host_list.set_faults(HostListFaults::default());
    let now = hosts.hosts().await.unwrap();
    assert_eq!(now.entry_hosts[0].presence, Presence::Leaving);

    deployment.host_list.set_faults(HostListFaults { down: true, ..Default::default() });
    let refused = hosts.hosts().await;
    assert!(matches!(refused, Err(PlatformError::Refused { status: 503, .. })));
    deployment.close().await;
}

#[rstest]
#[case::object_api(
    "object_api",
    r#"{"down": true, "slow_ms": 5, "lose_answers": true, "stale_reads": true}"#
)]
#[case::host_list("host_list", r#"{"lag_ms": 2000}"#)]
#[case::rating("rating", r#"{"delay_ms": 30, "down": true}"#)]
#[case::engine(
    "engine",
    r#"{"slow_factor": 3.0, "crash_on": "poison", "silent": true, "answer_late_ms": 5, "crossed": true,
        "bad": [{"version": "levain-small@v2", "unacceptable_share": 0.5, "error_share": 0.1}],
        "leaving": true, "error_share": 0.2, "break_after": 3}"#
)]
#[case::service(
    "service",
    r#"{"slow_ms": 5, "crash_on": "poison", "lose_answers": true, "leaving": true}"#
)]
#[tokio::test]
async fn faults_are_switched_over_http(#[case] name: &str, #[case] faults: &str) {
    let spec = DeploymentSpec::default().engine(common::fast_engine()).service(ServiceSpec {
        id: "crock-app-nashua".to_owned(),
        data_centre: "nashua".to_owned(),
        service: "crock-app".to_owned(),
    });
    let deployment = Deployment::start(spec).await.unwrap();
    let addresses = deployment.addresses();
    let address = match name {
        "object_api" => addresses.object_api,
        "host_list" => addresses.host_list,
        "rating" => addresses.rating,
        "engine" => deployment.engines[0].address(),
        _ => deployment.services[0].address(),
    };
    let post = async |body: String| {
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        let request = client.post(format!("http://{address}/faults")).body(body);
        let answer = request.send().await.unwrap();
        (answer.status().as_u16(), answer.text().await.unwrap())
    };
    let (status, answer) = post(faults.to_owned()).await;
    assert_eq!(status, 200, "{answer}");
    let requested: serde_json::Value = serde_json::from_str(faults).unwrap();
    let applied: serde_json::Value = serde_json::from_str(&answer).unwrap();
    for (field, value) in requested.as_object().unwrap() {
        assert_eq!(&applied[field], value, "{field}");
    }
    let (status, answer) = post("{\"slow\": 1}".to_owned()).await;
    assert_eq!(status, 400);
    assert!(answer.contains("unknown field `slow`"), "{answer}");
    assert_eq!(post("{}".to_owned()).await.0, 200);
    deployment.close().await;
}

#[tokio::test]
async fn ratings_follow_the_mark_and_are_wrong_at_the_configured_share() {
    let spec = RatingSpec { per_second: 10_000.0, delay_ms: 0, wrong_share: 0.25, seed: 3 };
    let server = RatingServer::start(ANY_PORT.into(), spec).await.unwrap();
    let api = HttpRating::new(server.address(), short_timeouts());
    let rating_request = |request, answer: &str| RatingRequest {
        request,
        model_version: version(),
        class: "question".to_owned(),
        answer: answer.to_owned(),
    };
    let mut wrong = 0;
    for request in 0..200 {
        let good = api.rate(rating_request(request, "feed it")).await.unwrap();
        let bad = api.rate(rating_request(request, UNACCEPTABLE_MARK)).await.unwrap();
        assert_ne!(good.acceptable, bad.acceptable);
        wrong += usize::from(bad.acceptable);
    }
    assert!((30..=70).contains(&wrong), "{wrong} of 200 verdicts were wrong");
    server.set_faults(RatingFaults { down: true, ..Default::default() });
    let refused = api.rate(rating_request(1, "feed it")).await;
    assert!(matches!(refused, Err(PlatformError::Refused { status: 503, .. })));
    server.close().await;
}

#[tokio::test]
async fn engines_load_versions_from_the_weight_store() {
    let spec = DeploymentSpec {
        weight_store: WeightStoreSpec { concurrent: 1, load_ms: 1 },
        ..DeploymentSpec::default()
    };
    let deployment = Deployment::start(spec.engine(common::fast_engine())).await.unwrap();
    let wanted = ModelVersion::new("levain-mid", "v3");
    let order = EngineOrder {
        server: "engine".to_owned(),
        fencing: 1,
        state: OrderedState { loaded: [wanted.clone()].into(), role: EngineRole::Mixed },
    };
    let engine = &deployment.engines[0];
    client().order(engine.address(), order).await.unwrap();
    while !engine.stats().loaded.contains(&wanted) {
        tokio::task::yield_now().await;
    }
    assert!(!engine.stats().loaded.contains(&version()));
    deployment.close().await;
}
