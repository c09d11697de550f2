//! Homes: regions to which the requests of a route or a workspace are confined.
//!
//! Load addressed: requests whose data must not leave some regions, in a fleet whose servers and hosts are in several.
//! A server, or a data centre, of unknown region is not allowed. Pattern: data residency as a hard filter ahead of
//! server selection, never as a cost.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::RegionId;

use crate::in_flight::InFlightRequest;

/// Regions of the data centres, by the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions {
    pub of_data_centres: BTreeMap<DataCentreId, RegionId>,
    /// Region of this host.
    pub own: Option<RegionId>,
}

/// Homes of a request: those of its route and those of its workspace. Where both have any, both apply.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Homes<'a> {
    route: Option<&'a BTreeSet<RegionId>>,
    workspace: Option<&'a BTreeSet<RegionId>>,
}

impl Regions {
    /// Whether a request with these homes may reach a server of a data centre.
    pub(crate) fn allow_server(&self, homes: Homes<'_>, data_centre: &str) -> bool {
        !homes.exist() || self.of_data_centres.get(data_centre).is_some_and(|at| homes.contain(at))
    }

    /// Whether the body of a request with these homes may be sent to an entry host of a data centre.
    pub(crate) fn allow_host(&self, homes: Homes<'_>, data_centre: &str) -> bool {
        let region = self.of_data_centres.get(data_centre);
        let is_own = region.is_some() && region == self.own.as_ref();
        is_own || self.allow_server(homes, data_centre)
    }
}

impl<'a> Homes<'a> {
    pub(crate) fn of(req: &'a InFlightRequest) -> Homes<'a> {
        Homes {
            route: req.route.regions.as_ref(),
            workspace: req.workspace.as_ref().and_then(|workspace| workspace.regions.as_ref()),
        }
    }

    pub(crate) fn exist(&self) -> bool {
        self.route.is_some() || self.workspace.is_some()
    }

    fn contain(&self, region: &RegionId) -> bool {
        [self.route, self.workspace].into_iter().flatten().all(|homes| homes.contains(region))
    }
}
