//! Baseline policies: the gateway chooses an endpoint by itself and dispatches
//! at once, without cells and permits.

use super::{Assignment, Decision, InUse, Inner, progress};
use crate::{blackboard::Blackboard, routing::Target};
use codes::Code;
use sched::{
    CellId, Grant, Job, Reason,
    policy::{Candidate, Selector},
};
use std::{collections::HashMap, sync::Arc};
use tokio::sync::oneshot;
use units::{EndpointId, Permit, ServiceId, Time};

/// State of the baseline policies: selector, and requests in flight by endpoint.
#[derive(Debug, Default)]
pub struct State {
    selector: Selector,
    in_flight: HashMap<EndpointId, u32>,
    last_permit: u64,
}

impl State {
    /// Records the end of a request.
    pub fn release(&mut self, endpoint: &EndpointId) {
        if let Some(count) = self.in_flight.get_mut(endpoint) {
            *count = count.saturating_sub(1);
        }
    }
}

impl Inner {
    /// Chooses an endpoint for a request and replies at once.
    pub(super) fn submit_baseline(
        &mut self,
        board: &Blackboard,
        service: &ServiceId,
        job: Job,
        sender: oneshot::Sender<Decision>,
    ) {
        let map = board.map();
        let targets = map.available(service);
        let candidates: Vec<Candidate> =
            targets.iter().map(|target| self.candidate(board, target)).collect();
        let policy = board.settings.policy;
        let choice = self.baseline.selector.select(policy, &candidates, &mut rand::rng());
        let Some(target) = choice.and_then(|index| targets.get(index)) else {
            let _ = sender.send(Decision::Refuse(Code::NoEndpoint));
            return;
        };
        let assignment = self.assign_baseline(board, target, &job);
        let key = (assignment.cell.clone(), assignment.grant.permit);
        let (owner, endpoint) = (assignment.owner.clone(), assignment.grant.endpoint.clone());
        let progress = Arc::clone(&assignment.progress);
        self.in_use.insert(key, InUse { owner, endpoint, job, progress });
        let _ = sender.send(Decision::Run(Box::new(assignment)));
    }

    fn candidate(&self, board: &Blackboard, target: &Target) -> Candidate {
        let endpoint = target.backend.endpoint.clone();
        let report = board.load_reports.read().get(&endpoint).copied();
        Candidate {
            reported: report.map_or(0, |r| r.load.running + r.load.waiting),
            reported_at: report.map_or(Time::ZERO, |r| r.at),
            own: self.baseline.in_flight.get(&endpoint).copied().unwrap_or(0),
            endpoint,
        }
    }

    fn assign_baseline(&mut self, board: &Blackboard, target: &Target, job: &Job) -> Assignment {
        let backend = &target.backend;
        *self.baseline.in_flight.entry(backend.endpoint.clone()).or_default() += 1;
        self.baseline.last_permit += 1;
        let grant = Grant {
            request: job.request,
            holder: job.holder.clone(),
            permit: Permit(self.baseline.last_permit),
            endpoint: backend.endpoint.clone(),
            reason: Reason::Baseline,
            runners_up: Box::new([]),
        };
        let cell = CellId {
            service: backend.service.clone(),
            region: backend.region.clone(),
            shard: u16::MAX,
        };
        let owner = board.settings.instance.clone();
        let cross_region = backend.region != board.settings.region;
        let progress = Arc::new(progress::Recorder::default());
        Assignment { owner, cell, grant, address: target.address, cross_region, progress }
    }
}
