//! A worker: tasks under leases, lagging usage reports, faults on request.
