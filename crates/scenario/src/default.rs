//! The default deployment of a scenario: three data centres, two models, one plain service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use foxtailhoist_model::Configuration;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Limits;
use foxtailhoist_model::Model;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Preset;
use foxtailhoist_model::QualityTarget;
use foxtailhoist_model::RolloutPolicy;
use foxtailhoist_model::RolloutStep;
use foxtailhoist_model::Serves;
use foxtailhoist_model::Service;
use foxtailhoist_model::Stage;
use foxtailhoist_model::StalePolicy;
use foxtailhoist_model::VersionRecord;
use foxtailhoist_model::Workspace;

use crate::Backends;

pub const DATA_CENTRES: [&str; 3] = ["nashua", "lowell", "concord"];
/// Plain service of the deployment.
pub const SERVICE: &str = "crock-app";

/// Entry hosts and their data centres: two in each.
#[must_use]
pub fn hosts() -> BTreeMap<EntryHostId, DataCentreId> {
    let host = |index: usize| (format!("entry-{index}"), DATA_CENTRES[index % 3].to_owned());
    (0..6).map(host).collect()
}

/// Adds an engine of each model and a server of the plain service in each data centre.
pub fn add_servers(backends: &mut Backends) {
    for data_centre in DATA_CENTRES {
        for model in ["levain-small", "levain-large"] {
            let loaded = ["v1", "v2"].map(|version| ModelVersion::new(model, version)).into();
            backends.add(
                &format!("{model}-{data_centre}"),
                data_centre,
                Serves::Engine { loaded, slots: 32 },
            );
        }
        let serves = Serves::Service(SERVICE.to_owned());
        backends.add(&format!("{SERVICE}-{data_centre}"), data_centre, serves);
    }
}

/// Two workspaces, two models with `v1` settled and `v2` registered, and two presets: `ordinary`, and `peak`, which
/// allows the workspace `clubs` the small model only.
#[must_use]
pub fn configuration() -> Configuration {
    let both_models = models(&["levain-small", "levain-large"]);
    let small_only = models(&["levain-small"]);
    let ordinary = preset(both_models.clone(), both_models.clone());
    let peak = preset(both_models, small_only);
    Configuration {
        revision: 0,
        preset: "ordinary".to_owned(),
        presets: BTreeMap::from([("ordinary".to_owned(), ordinary), ("peak".to_owned(), peak)]),
        workspaces: BTreeMap::from([
            ("bakers".to_owned(), workspace(StalePolicy::Settled)),
            ("clubs".to_owned(), workspace(StalePolicy::Refuse)),
        ]),
        models: BTreeMap::from([
            ("levain-small".to_owned(), Model { price_in: 0.1, price_out: 0.4 }),
            ("levain-large".to_owned(), Model { price_in: 1.5, price_out: 6.0 }),
        ]),
        versions: BTreeMap::from([
            version("levain-small", "v1", Stage::Settled),
            version("levain-small", "v2", Stage::Registered),
            version("levain-large", "v1", Stage::Settled),
            version("levain-large", "v2", Stage::Registered),
        ]),
        services: BTreeMap::from([(
            SERVICE.to_owned(),
            Service { idempotent_paths: BTreeSet::new() },
        )]),
    }
}

fn models(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn workspace(when_stale: StalePolicy) -> Workspace {
    Workspace {
        api_key_digests: BTreeSet::new(),
        weight: 1.0,
        priority: Default::default(),
        when_stale,
    }
}

fn version(model: &str, version: &str, stage: Stage) -> (ModelVersion, VersionRecord) {
    (ModelVersion::new(model, version), VersionRecord { stage, vetoed: false })
}

fn preset(bakers: BTreeSet<String>, clubs: BTreeSet<String>) -> Preset {
    let steps = vec![
        RolloutStep { share: 0.1, callers: 6, hold_seconds: 20, rated_answers: 5 },
        RolloutStep { share: 0.5, callers: 30, hold_seconds: 20, rated_answers: 10 },
    ];
    Preset {
        allowed: BTreeMap::from([("bakers".to_owned(), bakers), ("clubs".to_owned(), clubs)]),
        cheaper_for: BTreeSet::from(["tagging".to_owned()]),
        quality: QualityTarget::BelowBest(0.01),
        rollout: RolloutPolicy { steps },
        limits: Limits::default(),
    }
}
