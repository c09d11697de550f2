//! Permits: entitlement, stages, vetoes, exposure, stale configuration, sessions.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use common::World;
use common::completion;
use common::configuration;
use common::dispatch;
use common::dispatches;
use common::engine;
use common::engines;
use common::large;
use common::pinned;
use common::refusal;
use foxtailhoist_model::BackendServer;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Ran;
use foxtailhoist_model::Serves;
use foxtailhoist_model::Stage;
use foxtailhoist_model::StalePolicy;
use foxtailhoist_model::Target;
use foxtailhoist_model::VersionRecord;
use foxtailhoist_route::Mechanisms;
use foxtailhoist_route::event::Event;
use rstest::rstest;

fn canary() -> ModelVersion {
    ModelVersion::new("large", "2")
}

/// Configuration with `large@2` as a canary beside `large@1`, and a quota of callers for this host.
fn with_canary(share: f64, quota: Option<u32>) -> Configuration {
    let mut configuration = configuration();
    let quotas = quota.map(|quota| ("host-1".to_owned(), quota)).into_iter().collect();
    let stage = Stage::Canary { step: 0, share, quotas };
    configuration.versions.insert(canary(), VersionRecord { stage, vetoed: false });
    configuration
}

fn engines_with_all_versions() -> Vec<BackendServer> {
    let loaded = BTreeSet::from([common::small(), large(), canary()]);
    let serves = Serves::Engine { loaded, slots: 512 };
    vec![BackendServer { serves, ..engine("engine-0", "a", 512) }]
}

fn set_stage(configuration: &mut Configuration, version: &ModelVersion, stage: Stage) {
    configuration.revision += 1;
    configuration.versions.get_mut(version).expect("a known version").stage = stage;
}

/// Sends one request for each caller and returns the version that answered it.
fn versions_by_caller(world: &mut World, callers: u64) -> BTreeMap<u64, ModelVersion> {
    let version = |world: &mut World, caller| {
        let mut request = world.chat();
        request.caller = caller;
        let dispatch = dispatch(&world.arrive(request));
        let _ = world.finish(dispatch.attempt);
        dispatch.model_version.expect("a model")
    };
    (0..callers).map(|caller| (caller, version(world, caller))).collect()
}

#[test]
fn a_workspace_without_an_entitlement_is_refused() {
    let mut world = World::new();
    let mut request = world.chat();
    request.workspace = "unknown".to_owned();
    let effects = world.arrive(request);
    let refusal = refusal(&effects).expect("refused");
    assert_eq!((refusal.kind, refusal.ran), (ErrorKind::NoVersionAllowed, Ran::NotRun));
}

#[test]
fn a_model_that_the_preset_does_not_allow_is_refused() {
    let mut world = World::new();
    let mut request = world.chat();
    if let Target::Chat { model, .. } = &mut request.target {
        *model = Some("secret".to_owned());
    }
    let effects = world.arrive(request);
    assert_eq!(refusal(&effects).map(|r| r.kind), Some(ErrorKind::NoVersionAllowed));
}

#[rstest]
#[case::withdrawing(Stage::Withdrawing)]
#[case::withdrawn(Stage::Withdrawn)]
#[case::registered(Stage::Registered)]
fn a_queued_request_needs_a_new_permit_at_its_dispatch(#[case] stage: Stage) {
    let servers = vec![engine("engine-0", "a", 1)];
    let mut world = World::with(Mechanisms::default(), configuration(), servers);
    let first = world.chat();
    let running = dispatch(&world.arrive(first));
    assert_eq!(running.model_version, Some(large()));
    let waiting = world.chat();
    assert!(world.arrive(waiting).is_empty());
    let mut changed = configuration();
    set_stage(&mut changed, &large(), stage);
    let mut effects = world.send(Event::Configured(Arc::new(changed)));
    effects.extend(world.finish(running.attempt));
    let next = dispatch(&effects);
    assert_eq!(next.model_version, Some(common::small()));
    assert_eq!(next.revision, 2);
}

#[test]
fn a_vetoed_version_gets_no_work_until_an_operator_lifts_the_veto() {
    let mut world = World::new();
    let _ = world.send(Event::Vetoed(large()));
    let request = world.chat();
    assert_eq!(dispatch(&world.arrive(request)).model_version, Some(common::small()));
    // A configuration that does not know of the veto yet must not lift it.
    let mut newer = configuration();
    newer.revision = 5;
    let _ = world.send(Event::Configured(Arc::new(newer)));
    let request = world.chat();
    assert_eq!(dispatch(&world.arrive(request)).model_version, Some(common::small()));
    let _ = world.send(Event::VetoCleared(large()));
    let request = world.chat();
    assert_eq!(dispatch(&world.arrive(request)).model_version, Some(large()));
}

#[test]
fn an_older_configuration_is_ignored() {
    let mut world = World::new();
    let mut newer = configuration();
    set_stage(&mut newer, &large(), Stage::Withdrawn);
    let _ = world.send(Event::Configured(Arc::new(newer)));
    let _ = world.send(Event::Configured(Arc::new(configuration())));
    let request = world.chat();
    assert_eq!(dispatch(&world.arrive(request)).model_version, Some(common::small()));
}

#[rstest]
#[case::no_quota_for_this_host(None, 0)]
#[case::quota_of_three(Some(3), 3)]
#[case::quota_above_the_callers(Some(1000), 200)]
fn exposed_callers_stay_within_the_quota(#[case] quota: Option<u32>, #[case] max_exposed: usize) {
    let configuration = with_canary(0.5, quota);
    let mut world = World::with(Mechanisms::default(), configuration, engines_with_all_versions());
    let mut exposed = BTreeSet::new();
    for _ in 0..4 {
        let versions = versions_by_caller(&mut world, 200);
        exposed.extend(versions.iter().filter(|(_, v)| **v == canary()).map(|(c, _)| *c));
    }
    assert!(exposed.len() <= max_exposed, "{exposed:?}");
    assert_eq!(exposed.is_empty(), quota.is_none());
}

#[test]
fn requests_on_a_canary_stay_within_its_share() {
    let configuration = with_canary(0.1, Some(1000));
    let mut world = World::with(Mechanisms::default(), configuration, engines_with_all_versions());
    let mut on_canary = 0;
    // One caller of the exposed tenth sends most of the requests.
    let versions = versions_by_caller(&mut world, 100);
    let heavy = versions.iter().find(|(_, version)| **version == canary()).map(|(c, _)| *c);
    for _ in 0..400 {
        let mut request = world.chat();
        request.caller = heavy.expect("a caller in the exposed tenth");
        let dispatch = dispatch(&world.arrive(request));
        on_canary += usize::from(dispatch.model_version == Some(canary()));
        let _ = world.finish(dispatch.attempt);
    }
    assert!((1..=48).contains(&on_canary), "{on_canary} of 400 at a share of 0.1");
}

#[test]
fn an_unconfirmed_host_uses_settled_versions_only() {
    let configuration = with_canary(1.0, Some(1000));
    let mut world = World::with(Mechanisms::default(), configuration, engines_with_all_versions());
    let before = versions_by_caller(&mut world, 8);
    assert!(before.values().any(|version| *version == canary()));
    let _ = world.send(Event::Confirmed(false));
    let after = versions_by_caller(&mut world, 8);
    assert!(after.values().all(|version| *version != canary()));
    let request = world.chat();
    let effects = world.arrive(pinned(request, Some(canary())));
    let dispatch = dispatch(&effects);
    assert_eq!(dispatch.model_version, Some(large()));
    let effects = world.finish(dispatch.attempt);
    assert!(completion(&effects).expect("answered").session_moved);
}

#[test]
fn a_workspace_may_choose_refusal_while_unconfirmed() {
    let mut configuration = configuration();
    let workspace = configuration.workspaces.get_mut(common::WORKSPACE).expect("known");
    workspace.when_stale = StalePolicy::Refuse;
    let mut world = World::with(Mechanisms::default(), configuration, engines(1));
    let _ = world.send(Event::Confirmed(false));
    let request = world.chat();
    let effects = world.arrive(request);
    assert_eq!(refusal(&effects).map(|r| r.kind), Some(ErrorKind::ConfigurationStale));
    let _ = world.send(Event::Confirmed(true));
    let request = world.chat();
    assert_eq!(dispatches(&world.arrive(request)).len(), 1);
}

#[rstest]
#[case::settled(configuration(), common::small())]
#[case::canary_whose_quota_is_used_up(with_canary(0.0, Some(0)), canary())]
fn a_session_keeps_its_version(#[case] configuration: Configuration, #[case] pin: ModelVersion) {
    let mut world = World::with(Mechanisms::default(), configuration, engines_with_all_versions());
    let request = world.chat();
    let dispatch = dispatch(&world.arrive(pinned(request, Some(pin.clone()))));
    assert_eq!(dispatch.model_version, Some(pin));
    let effects = world.finish(dispatch.attempt);
    let completion = completion(&effects).expect("answered");
    assert!(!completion.session_moved);
    assert_eq!(completion.session.as_deref(), Some("s-1"));
}

#[rstest]
#[case::withdrawn(false)]
#[case::vetoed(true)]
fn a_session_moves_off_a_withdrawn_version(#[case] veto: bool) {
    let mut world = World::new();
    if veto {
        let _ = world.send(Event::Vetoed(common::small()));
    } else {
        let mut changed = configuration();
        set_stage(&mut changed, &common::small(), Stage::Withdrawn);
        let _ = world.send(Event::Configured(Arc::new(changed)));
    }
    let request = world.chat();
    let dispatch = dispatch(&world.arrive(pinned(request, Some(common::small()))));
    assert_eq!(dispatch.model_version, Some(large()));
    assert!(completion(&world.finish(dispatch.attempt)).expect("answered").session_moved);
}

#[test]
fn a_canary_that_no_engine_has_loaded_is_substituted() {
    let configuration = with_canary(1.0, Some(1000));
    let mut world = World::with(Mechanisms::default(), configuration, engines(1));
    let request = world.chat();
    assert_eq!(dispatch(&world.arrive(request)).model_version, Some(large()));
    let _ = world.advance(Duration::from_secs(1));
}
