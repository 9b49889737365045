//! Who holds which shard, and until when.
