//! The platform: key-value service and instance list, with faults on request.
