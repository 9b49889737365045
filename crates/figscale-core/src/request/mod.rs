//! Admission, queueing, slot choice, retry and the memory of request ids.
