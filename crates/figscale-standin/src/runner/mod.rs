//! A runner: slots, connections, answers with checksums, faults on request.
