//! Which versions a request may run on, now.
//!
//! A [`Permit`] is the only way to a dispatch, and only [`Permissions`] builds one: from the configuration in force,
//! the workspace's entitlement, the version's stage, vetoes and the bounds on exposure. Nothing keeps a permit; a
//! request that waited or is tried again is permitted again at the time of its dispatch.

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

use crate::destination::Destination;
use crate::entry::Entry;

/// Seed of the hash that picks callers for a canary version.
const CANARY_SEED: u64 = 0x0ca7_a21e;
/// Requests on canary versions that may run ahead of their share.
const CANARY_BURST: f64 = 4.0;
/// Versions whose exposed callers are remembered.
const MAX_EXPOSED_VERSIONS: usize = 64;

/// Leave to run one attempt on a version under a revision.
#[derive(Clone, Debug)]
pub struct Permit {
    destination: Destination,
    revision: u64,
    /// The caller was not exposed to the version in roll-out before.
    newly_exposed: bool,
}

/// A version that a request may run on.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Allowed {
    pub(crate) model_version: Arc<ModelVersion>,
    pub(crate) price_in: f64,
    pub(crate) price_out: f64,
    pub(crate) canary: bool,
    /// Stands in where the version in roll-out, which the request would get, has no server.
    pub(crate) standby: bool,
}

/// What is permitted at present.
#[derive(Debug)]
pub(crate) struct Permissions {
    host: EntryHostId,
    configuration: Option<Arc<Configuration>>,
    confirmed: bool,
    vetoed: BTreeSet<ModelVersion>,
    /// Versions that take new work, by model; made anew with each change of the above.
    usable: BTreeMap<ModelId, Vec<Allowed>>,
    exposure: BTreeMap<ModelVersion, Exposure>,
}

/// Use of a version in roll-out.
#[derive(Debug, Default)]
struct Exposure {
    callers: BTreeSet<CallerId>,
    /// Requests that may go to the version before its share is used up.
    credit: f64,
}

impl Permit {
    /// Model version, `None` for a plain service.
    #[must_use]
    pub fn model_version(&self) -> Option<&ModelVersion> {
        self.destination.model_version()
    }

    /// Whether the permit exposes its caller to a version in roll-out for the first time.
    pub(crate) fn newly_exposed(&self) -> bool {
        self.newly_exposed
    }

    /// Revision under which the permit was given.
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

    /// Puts a configuration into force; an older one than the present is ignored.
    pub(crate) fn configure(&mut self, configuration: Arc<Configuration>) -> bool {
        if configuration.revision < self.revision() {
            return false;
        }
        self.exposure.retain(|model_version, _| {
            let record = configuration.versions.get(model_version);
            record.is_some_and(|record| matches!(record.stage, Stage::Canary { .. }))
        });
        self.configuration = Some(configuration);
        self.refresh();
        true
    }

    pub(crate) fn confirm(&mut self, confirmed: bool) {
        self.confirmed = confirmed;
        self.refresh();
    }

    pub(crate) fn veto(&mut self, model_version: ModelVersion) {
        self.vetoed.insert(model_version);
        self.refresh();
    }

    pub(crate) fn clear_veto(&mut self, model_version: &ModelVersion) {
        self.vetoed.remove(model_version);
        self.refresh();
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

    /// Distinct callers exposed to a version in roll-out by this host.
    pub(crate) fn exposed(&self, model_version: &ModelVersion) -> usize {
        self.exposure.get(model_version).map_or(0, |exposure| exposure.callers.len())
    }

    /// Versions that a chat request may run on, cheapest first; a pinned session gets its version alone.
    pub(crate) fn allowed(&self, request: &Request) -> Result<Vec<Allowed>, ErrorKind> {
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
            self.add_versions_of(configuration, id, request.caller, &mut allowed);
        }
        allowed.sort_by(|a, b| a.price_out.total_cmp(&b.price_out));
        if allowed.is_empty() {
            return Err(ErrorKind::NoVersionAllowed);
        }
        Ok(allowed)
    }

    /// Whether a request for a plain service may run at all.
    pub(crate) fn usable(&self, request: &Request) -> Result<(), ErrorKind> {
        self.usable_configuration(request).map(|_| ())
    }

    /// Whether a session's request may stay on the session's version.
    pub(crate) fn may_keep(&self, pinned: &ModelVersion, entry: Option<&Entry>) -> bool {
        let Some(entry) = entry else {
            return false;
        };
        let allowed = self.allowed(&entry.request).unwrap_or_default();
        allowed.iter().any(|allowed| *allowed.model_version == *pinned)
    }

    /// Gives leave for one attempt, now. Counts the caller as exposed where the version is in roll-out.
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
        let newly_exposed = self.expose(chosen, request.caller);
        Ok(Permit { destination: destination.clone(), revision, newly_exposed })
    }

    /// Whether an attempt on a version is within the rules, apart from exposure.
    pub(crate) fn in_use(&self, model_version: &ModelVersion) -> bool {
        let record = self.configuration.as_ref().and_then(|c| c.versions.get(model_version));
        let usable = record.is_some_and(|record| !record.vetoed && record.stage.takes_new_work());
        usable && !self.vetoed.contains(model_version)
    }

    /// Bound on the callers that this host may expose to a version.
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

    /// Adds the model's settled versions; they only stand in for callers exposed to the one in roll-out.
    fn add_versions_of(
        &self,
        configuration: &Configuration,
        model: &ModelId,
        caller: CallerId,
        allowed: &mut Vec<Allowed>,
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

    /// Finds the versions that take new work.
    fn refresh(&mut self) {
        let Some(configuration) = self.configuration.clone() else {
            return;
        };
        self.usable.clear();
        for (model_version, record) in &configuration.versions {
            let Some(model) = configuration.models.get(&model_version.model) else {
                continue;
            };
            let canary = matches!(record.stage, Stage::Canary { .. });
            if !self.in_use(model_version) || (canary && !self.confirmed) {
                continue;
            }
            self.usable.entry(model_version.model.clone()).or_default().push(Allowed {
                model_version: Arc::new(model_version.clone()),
                price_in: model.price_in,
                price_out: model.price_out,
                canary,
                standby: false,
            });
        }
    }

    /// Whether a caller without a session there may be sent to a version in roll-out.
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
        let known = exposure.callers.contains(&caller);
        let room = exposure.callers.len() < quota as usize;
        (known || room) && exposure.credit > 0.0
    }

    /// Counts a request on a version; whether its caller is exposed for the first time.
    fn expose(&mut self, chosen: &Allowed, caller: CallerId) -> bool {
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
        // A pinned session came from a host that counted its caller already.
        exposure.callers.len() < quota && exposure.callers.insert(caller)
    }
}

/// Place of a caller between 0 and 1, the same on every host.
fn caller_fraction(model_version: &ModelVersion, caller: CallerId) -> f64 {
    let name = model_version.to_string();
    let hash = stable_hash(CANARY_SEED, &[name.as_bytes(), &caller.to_be_bytes()]);
    hash as f64 / u64::MAX as f64
}
