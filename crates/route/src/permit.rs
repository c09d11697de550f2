//! Decides which versions a request may run on.
//!
//! Every dispatch requires a [`Permit`], and only [`Permissions`] creates one: from the configuration in force, the
//! workspace's entitlement, the version's stage, vetoes and the limits on exposure. Permits are not stored: a request
//! that waited or is retried needs a new one at the time of its dispatch.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use foxtailhoist_model::CallerId;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::ModelId;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Preset;
use foxtailhoist_model::Request;
use foxtailhoist_model::Stage;
use foxtailhoist_model::StalePolicy;
use foxtailhoist_model::Target;
use foxtailhoist_model::stable_hash;

use crate::active_request::ActiveRequest;
use crate::destination::Destination;

/// Seed of the hash that selects callers for a canary version.
const CANARY_SEED: u64 = 0x0ca7_a21e;
/// Maximum credit of a canary version: the requests it may run in a burst above its share.
const CANARY_BURST: f64 = 4.0;
/// Maximum number of versions whose exposed callers are tracked.
const MAX_EXPOSED_VERSIONS: usize = 64;

/// Permission to run one attempt on a version or service, under one configuration revision.
#[derive(Clone, Debug)]
pub struct Permit {
    destination: Destination,
    revision: u64,
    /// Whether the caller is exposed to the canary version for the first time.
    newly_exposed: bool,
}

/// A version that a request may run on.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AllowedVersion {
    pub(crate) model_version: Arc<ModelVersion>,
    pub(crate) price_in: f64,
    pub(crate) price_out: f64,
    pub(crate) canary: bool,
    /// Substitute, used only if no server of the canary version is available.
    pub(crate) standby: bool,
}

/// Current rules for dispatching: configuration, vetoes and exposure.
#[derive(Debug)]
pub(crate) struct Permissions {
    host: EntryHostId,
    configuration: Option<Arc<Configuration>>,
    confirmed: bool,
    vetoed: BTreeSet<ModelVersion>,
    /// Versions that take new work, by model; rebuilt whenever a field above changes.
    usable: BTreeMap<ModelId, Vec<AllowedVersion>>,
    exposure: BTreeMap<ModelVersion, Exposure>,
}

/// Traffic of a canary version on this host.
#[derive(Debug, Default)]
struct Exposure {
    callers: BTreeSet<CallerId>,
    /// Requests that the version may still receive within its share.
    credit: f64,
}

impl Permit {
    /// Model version; `None` for a plain service.
    #[must_use]
    pub fn model_version(&self) -> Option<&ModelVersion> {
        self.destination.model_version()
    }

    /// Whether the permit exposes its caller to a canary version for the first time.
    pub(crate) fn newly_exposed(&self) -> bool {
        self.newly_exposed
    }

    /// Configuration revision under which the permit was granted.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }
}

impl Permissions {
    pub(crate) fn new(host: EntryHostId) -> Permissions {
        Permissions {
            host,
            configuration: None,
            confirmed: true,
            vetoed: BTreeSet::new(),
            usable: BTreeMap::new(),
            exposure: BTreeMap::new(),
        }
    }

    /// Applies a configuration, unless it is older than the current one; returns whether it was applied.
    pub(crate) fn configure(&mut self, configuration: Arc<Configuration>) -> bool {
        if configuration.revision < self.revision() {
            return false;
        }
        self.exposure.retain(|model_version, _| {
            let record = configuration.versions.get(model_version);
            record.is_some_and(|record| matches!(record.stage, Stage::Canary { .. }))
        });
        self.configuration = Some(configuration);
        self.rebuild_usable();
        true
    }

    pub(crate) fn confirm(&mut self, confirmed: bool) {
        self.confirmed = confirmed;
        self.rebuild_usable();
    }

    pub(crate) fn veto(&mut self, model_version: ModelVersion) {
        self.vetoed.insert(model_version);
        self.rebuild_usable();
    }

    pub(crate) fn clear_veto(&mut self, model_version: &ModelVersion) {
        self.vetoed.remove(model_version);
        self.rebuild_usable();
    }

    pub(crate) fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    pub(crate) fn preset(&self) -> Option<&Preset> {
        self.configuration.as_ref()?.preset_in_force()
    }

    pub(crate) fn revision(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.revision)
    }

    /// Number of distinct callers that this host has exposed to a canary version.
    pub(crate) fn exposed_callers(&self, model_version: &ModelVersion) -> usize {
        self.exposure.get(model_version).map_or(0, |exposure| exposure.callers.len())
    }

    /// Versions that a chat request may run on, cheapest first; for a pinned session its version only, while usable.
    pub(crate) fn allowed(&self, request: &Request) -> Result<Vec<AllowedVersion>, ErrorKind> {
        let Target::Chat { model, session, .. } = &request.target else {
            return Err(ErrorKind::Internal);
        };
        let configuration = self.usable_configuration(request)?;
        let preset = configuration.preset_in_force().ok_or(ErrorKind::NoVersionAllowed)?;
        let models = preset.allowed.get(&request.workspace).ok_or(ErrorKind::NoVersionAllowed)?;
        let pin = session.as_ref().and_then(|session| session.version.as_ref());
        if let Some(pinned) = pin.filter(|pinned| models.contains(&pinned.model)) {
            let fits = model.as_ref().is_none_or(|model| *model == pinned.model);
            let usable = self.usable.get(&pinned.model).into_iter().flatten();
            let mut kept = usable.filter(|usable| *usable.model_version == *pinned);
            if let Some(kept) = kept.next().filter(|_| fits) {
                return Ok(vec![kept.clone()]);
            }
        }
        let wanted = |id: &&ModelId| model.as_ref().is_none_or(|model| model == *id);
        let mut allowed = Vec::with_capacity(models.len());
        for id in models.iter().filter(wanted) {
            self.add_versions(configuration, id, request.caller, &mut allowed);
        }
        allowed.sort_by(|a, b| a.price_out.total_cmp(&b.price_out));
        if allowed.is_empty() {
            return Err(ErrorKind::NoVersionAllowed);
        }
        Ok(allowed)
    }

    /// Checks whether a request for a plain service may run.
    pub(crate) fn check_service(&self, request: &Request) -> Result<(), ErrorKind> {
        self.usable_configuration(request).map(|_| ())
    }

    /// Whether a request may still run on the version that its session is pinned to.
    pub(crate) fn may_keep_version(
        &self,
        pinned: &ModelVersion,
        active: Option<&ActiveRequest>,
    ) -> bool {
        let Some(active) = active else {
            return false;
        };
        let allowed = self.allowed(&active.request).unwrap_or_default();
        allowed.iter().any(|allowed| *allowed.model_version == *pinned)
    }

    /// Grants one attempt now, and counts the caller as exposed if the version is a canary.
    pub(crate) fn permit(
        &mut self,
        request: &Request,
        destination: &Destination,
    ) -> Result<Permit, ErrorKind> {
        let revision = self.revision();
        let Destination::Version(model_version) = destination else {
            self.usable_configuration(request)?;
            return Ok(Permit { destination: destination.clone(), revision, newly_exposed: false });
        };
        let allowed = self.allowed(request)?;
        let chosen = allowed.iter().find(|allowed| *allowed.model_version == *model_version);
        let chosen = chosen.ok_or(ErrorKind::NoVersionAllowed)?;
        let newly_exposed = self.record_exposure(chosen, request.caller);
        Ok(Permit { destination: destination.clone(), revision, newly_exposed })
    }

    /// Whether a version may receive new attempts, apart from the limits on exposure.
    pub(crate) fn takes_new_work(&self, model_version: &ModelVersion) -> bool {
        let record = self.configuration.as_ref().and_then(|c| c.versions.get(model_version));
        let usable = record.is_some_and(|record| !record.vetoed && record.stage.takes_new_work());
        usable && !self.vetoed.contains(model_version)
    }

    /// Number of callers that this host may expose to a version; `None` unless it is a canary.
    pub(crate) fn quota(&self, model_version: &ModelVersion) -> Option<u32> {
        let record = self.configuration.as_ref()?.versions.get(model_version)?;
        match &record.stage {
            Stage::Canary { quotas, .. } => Some(quotas.get(&self.host).copied().unwrap_or(0)),
            _ => None,
        }
    }

    fn usable_configuration(&self, request: &Request) -> Result<&Configuration, ErrorKind> {
        let configuration = self.configuration.as_ref().ok_or(ErrorKind::ConfigurationStale)?;
        let workspace = configuration.workspaces.get(&request.workspace);
        let when_stale = workspace.map_or(StalePolicy::Settled, |workspace| workspace.when_stale);
        if !self.confirmed && when_stale == StalePolicy::Refuse {
            return Err(ErrorKind::ConfigurationStale);
        }
        Ok(configuration)
    }

    /// Adds the versions of a model that the caller may use; settled ones are only substitutes if the caller is exposed
    /// to the canary.
    fn add_versions(
        &self,
        configuration: &Configuration,
        model: &ModelId,
        caller: CallerId,
        allowed: &mut Vec<AllowedVersion>,
    ) {
        let first = allowed.len();
        let mut exposed = false;
        for candidate in self.usable.get(model).into_iter().flatten() {
            if candidate.canary {
                let version = &candidate.model_version;
                if exposed || !self.may_expose(configuration, version, caller) {
                    continue;
                }
                exposed = true;
            }
            allowed.push(candidate.clone());
        }
        for candidate in &mut allowed[first..] {
            candidate.standby = exposed && !candidate.canary;
        }
    }

    /// Recomputes the versions that take new work.
    fn rebuild_usable(&mut self) {
        let Some(configuration) = self.configuration.clone() else {
            return;
        };
        self.usable.clear();
        for (model_version, record) in &configuration.versions {
            let Some(model) = configuration.models.get(&model_version.model) else {
                continue;
            };
            let canary = matches!(record.stage, Stage::Canary { .. });
            if !self.takes_new_work(model_version) || (canary && !self.confirmed) {
                continue;
            }
            self.usable.entry(model_version.model.clone()).or_default().push(AllowedVersion {
                model_version: Arc::new(model_version.clone()),
                price_in: model.price_in,
                price_out: model.price_out,
                canary,
                standby: false,
            });
        }
    }

    /// Whether a caller that is not pinned to a canary version may be sent to it.
    fn may_expose(
        &self,
        configuration: &Configuration,
        model_version: &ModelVersion,
        caller: CallerId,
    ) -> bool {
        let record = configuration.versions.get(model_version);
        let Some(Stage::Canary { share, .. }) = record.map(|record| &record.stage) else {
            return false;
        };
        let Some(quota) = self.quota(model_version).filter(|quota| *quota > 0) else {
            return false;
        };
        if caller_fraction(model_version, caller) >= *share {
            return false;
        }
        let Some(exposure) = self.exposure.get(model_version) else {
            return true;
        };
        let known_caller = exposure.callers.contains(&caller);
        let quota_left = exposure.callers.len() < quota as usize;
        (known_caller || quota_left) && exposure.credit > 0.0
    }

    /// Counts a request on a version; returns whether its caller is exposed to a canary for the first time.
    fn record_exposure(&mut self, chosen: &AllowedVersion, caller: CallerId) -> bool {
        let model = &chosen.model_version.model;
        for (model_version, exposure) in &mut self.exposure {
            let record = self.configuration.as_ref().and_then(|c| c.versions.get(model_version));
            let stage = record.map(|record| &record.stage);
            if let Some(Stage::Canary { share, .. }) =
                stage.filter(|_| model_version.model == *model)
            {
                exposure.credit = (exposure.credit + share).min(CANARY_BURST);
            }
        }
        if !chosen.canary {
            return false;
        }
        let quota = self.quota(&chosen.model_version).unwrap_or(0) as usize;
        let version = &chosen.model_version;
        if self.exposure.len() >= MAX_EXPOSED_VERSIONS && !self.exposure.contains_key(&**version) {
            self.exposure.pop_first();
        }
        let exposure = self.exposure.entry(ModelVersion::clone(version)).or_default();
        if exposure.callers.is_empty() {
            exposure.credit = CANARY_BURST;
        }
        exposure.credit -= 1.0;
        // The caller of a pinned session was already counted by the host that pinned it.
        exposure.callers.len() < quota && exposure.callers.insert(caller)
    }
}

/// Maps a caller to a fraction between 0 and 1, the same on every host.
fn caller_fraction(model_version: &ModelVersion, caller: CallerId) -> f64 {
    let name = model_version.to_string();
    let hash = stable_hash(CANARY_SEED, &[name.as_bytes(), &caller.to_be_bytes()]);
    hash as f64 / u64::MAX as f64
}
