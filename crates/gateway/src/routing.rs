//! Routing map: cells, their endpoints and their owners, derived from members,
//! directory listings and service files.

use guild::{Publication, service};
use sched::{
    CellId,
    holder::Route,
    route::{self, Backend, Member},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};
use units::{EndpointId, InstanceId, RegionId, ServiceId};

/// Endpoint that requests can be dispatched to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Identity, service and location.
    pub backend: Backend,
    /// Address.
    pub address: SocketAddr,
    /// Whether it is leaving and gets no new requests.
    pub leaving: bool,
}

/// Group of endpoints of one service and region that one gateway schedules.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cell {
    /// Endpoints, leaving ones included.
    pub endpoints: Vec<EndpointId>,
    /// Candidate owners, most preferred first.
    pub owners: Box<[InstanceId]>,
}

/// Routing map; replaced as a whole on every change.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Map {
    /// Endpoints by id.
    pub targets: BTreeMap<EndpointId, Target>,
    /// Cells by id.
    pub cells: BTreeMap<CellId, Cell>,
}

impl Map {
    /// Builds the map of the endpoints named by the published services or listed by the directory.
    #[must_use]
    pub fn new(
        publication: &Publication,
        listed: &BTreeMap<EndpointId, Target>,
        leaving: &BTreeSet<EndpointId>,
        members: &[Member],
    ) -> Self {
        let mut targets = BTreeMap::new();
        for file in &publication.services {
            for target in targets_of(file, listed) {
                targets.insert(target.backend.endpoint.clone(), target);
            }
        }
        for (id, target) in &mut targets {
            target.leaving |= leaving.contains(id);
        }
        let cells = cells_of(&targets, members);
        Self { targets, cells }
    }

    /// Route to a cell; `None` when the map has no such cell.
    #[must_use]
    pub fn route(&self, id: &CellId) -> Option<Route> {
        let cell = self.cells.get(id)?;
        Some(Route { cell: id.clone(), owners: cell.owners.clone() })
    }

    /// Cells of a service in `region`, or in every other region when `inside` is false.
    #[must_use]
    pub fn cells_in(&self, service: &ServiceId, region: &RegionId, inside: bool) -> Vec<CellId> {
        let of_service = self.cells.keys().filter(|cell| cell.service == *service);
        of_service.filter(|cell| (cell.region == *region) == inside).cloned().collect()
    }

    /// Endpoints of a service that are not leaving.
    #[must_use]
    pub fn available(&self, service: &ServiceId) -> Vec<&Target> {
        let all = self.targets.values();
        all.filter(|target| target.backend.service == *service && !target.leaving).collect()
    }
}

/// Endpoints of a service: those that its file names, or else those that the directory lists.
fn targets_of(file: &service::File, listed: &BTreeMap<EndpointId, Target>) -> Vec<Target> {
    if file.endpoints.is_empty() {
        let all = listed.values();
        return all.filter(|target| target.backend.service == file.service).cloned().collect();
    }
    let target = |endpoint: &service::Endpoint| Target {
        backend: Backend {
            endpoint: endpoint.id.clone(),
            service: file.service.clone(),
            zone: endpoint.zone.clone(),
            region: endpoint.region.clone(),
        },
        address: endpoint.address,
        leaving: false,
    };
    file.endpoints.iter().map(target).collect()
}

fn cells_of(targets: &BTreeMap<EndpointId, Target>, members: &[Member]) -> BTreeMap<CellId, Cell> {
    let mut groups: BTreeMap<(ServiceId, RegionId), Vec<&Target>> = BTreeMap::new();
    for target in targets.values() {
        let key = (target.backend.service.clone(), target.backend.region.clone());
        groups.entry(key).or_default().push(target);
    }
    let mut cells: BTreeMap<CellId, Cell> = BTreeMap::new();
    for ((service, region), group) in groups {
        let shards = route::shard_count(group.len());
        for target in group {
            let shard = route::shard_of(&target.backend.endpoint, shards);
            let id = CellId { service: service.clone(), region: region.clone(), shard };
            let cell = cells
                .entry(id.clone())
                .or_insert_with(|| Cell { endpoints: Vec::new(), owners: owners_of(&id, members) });
            cell.endpoints.push(target.backend.endpoint.clone());
        }
    }
    cells
}

fn owners_of(cell: &CellId, members: &[Member]) -> Box<[InstanceId]> {
    route::owners(cell, members).into_iter().map(|member| member.instance.clone()).collect()
}
