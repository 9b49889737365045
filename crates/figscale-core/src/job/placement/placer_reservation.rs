//! Placement at a placer, which has no queue and gets one request at a time.
//!
//! Homes repeat their requests until a task is placed. Between two requests for a
//! large task, small tasks would use all resources that become free, and the large
//! one would never fit. If a task does not fit, the worker that lacks the least for it
//! is therefore reserved for its job: other work that is not more urgent may not use
//! that worker. There is one such reservation at a time. More urgent work may
//! replace it, and it expires soon after its job's last request. Gangs get none, since
//! the rest of a gang may wait for another placer.
//!
//! For the same reason a placer records for a while that work needed accelerators
//! and found none. In this time, other work must leave processors and memory for
//! the free accelerators.

use std::time;

use figscale_types::catalogue;
use figscale_types::ids;

use super::cluster;
use super::place;
use super::reservation;
use super::work;
use super::worker;

/// How long a reservation lasts after the last request of its job.
const RESERVATION_LIFETIME: time::Duration = time::Duration::from_secs(1);
/// How long demand for accelerators is recorded after work found none.
const DEMAND_LIFETIME: time::Duration = time::Duration::from_secs(5);

impl cluster::Cluster {
    /// Places a task: filters the workers, scores them, allocates.
    ///
    /// # Errors
    ///
    /// Nothing is allocated if no worker can run the task now; one may be
    /// reserved for its job for about a second.
    pub fn place(
        &mut self,
        request: &work::PlacementRequest,
        now: time::Instant,
        expires: Option<time::Instant>,
    ) -> Result<ids::InstanceId, place::PlacementError> {
        self.drop_expired(now);
        let placed = self.try_place(request, now, expires);
        match placed {
            Ok(_)
                if self
                    .worker_reservation
                    .as_ref()
                    .is_some_and(|p| p.job == request.task.job) =>
            {
                self.worker_reservation = None;
            }
            Err(place::PlacementError::NoCapacity) => {
                self.raise_accelerator_demand(request, now);
                self.reserve_worker(request, now);
            }
            _ => {}
        }
        placed
    }

    /// Index of the worker that is reserved for another job and may not run this
    /// task.
    pub(super) fn worker_reserved_for_others(
        &self,
        request: &work::PlacementRequest,
    ) -> Option<usize> {
        let worker_reservation = self
            .worker_reservation
            .as_ref()
            .filter(|worker_reservation| worker_reservation.applies_to(request))?;
        self.workers.get_index_of(&worker_reservation.worker)
    }

    fn drop_expired(&mut self, now: time::Instant) {
        self.worker_reservation = self
            .worker_reservation
            .take()
            .filter(|worker_reservation| worker_reservation.until > now);
        self.accelerator_demand = self.accelerator_demand.filter(|demand| demand.until > now);
    }

    pub(super) fn set_accelerator_demand(
        &mut self,
        urgency: Option<catalogue::Urgency>,
        now: time::Instant,
    ) {
        let until = now + DEMAND_LIFETIME;
        self.accelerator_demand =
            urgency.map(|urgency| reservation::AcceleratorDemand { urgency, until });
    }

    fn raise_accelerator_demand(&mut self, request: &work::PlacementRequest, now: time::Instant) {
        if request.size.accelerators == 0 {
            return;
        }
        let known = self.accelerator_demand.map(|demand| demand.urgency);
        let urgency = known.map_or(request.urgency, |known| known.min(request.urgency));
        self.set_accelerator_demand(Some(urgency), now);
    }

    fn reserve_worker(&mut self, request: &work::PlacementRequest, now: time::Instant) {
        let free = match &self.worker_reservation {
            None => true,
            Some(known) => known.job == request.task.job || request.urgency < known.urgency,
        };
        if !free || request.class == catalogue::JobClass::Gang {
            return;
        }
        let closest_to_fitting = self
            .closest_to_fitting(request)
            .map(|worker| worker.id.clone());
        self.worker_reservation = closest_to_fitting.map(|worker| reservation::WorkerReservation {
            job: request.task.job.clone(),
            urgency: request.urgency,
            worker,
            until: now + RESERVATION_LIFETIME,
        });
    }

    /// The worker that lacks the smallest share of its capacity to run a task.
    pub(super) fn closest_to_fitting(
        &self,
        request: &work::PlacementRequest,
    ) -> Option<&worker::Worker> {
        let open = |worker: &&worker::Worker| {
            let usable = worker.takes_work() && worker.reserved_for.is_none();
            // A worker on which it fits is closed to it for another reason.
            let full = !worker.free().holds(&request.size);
            let fits_empty = worker.capacity.holds(&request.size);
            usable && full && fits_empty && !request.avoid.contains(&worker.id)
        };
        let missing = |worker: &worker::Worker| {
            let missing = request.size.minus(&worker.free());
            missing.dominant_share(&worker.capacity)
        };
        let workers = self.workers.values().filter(open);
        workers.min_by(|a, b| missing(a).total_cmp(&missing(b)))
    }
}
