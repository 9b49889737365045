//! Which shards there are.

use figscale_types::claims;
use figscale_types::ids;
use figscale_types::instances;
use indexmap::IndexMap;

/// Runners and workers by shard, and the home shards, which have none.
pub fn by_shard(
    list: &instances::InstanceList,
) -> IndexMap<ids::ShardId, Vec<instances::Instance>> {
    let mut shards: IndexMap<ids::ShardId, Vec<instances::Instance>> = IndexMap::new();
    for instance in &list.instances {
        if let Some(shard) = claims::shard_of(instance) {
            shards.entry(shard).or_default().push(instance.clone());
        }
    }
    for shard in homes() {
        shards.entry(shard).or_default();
    }
    shards.sort_keys();
    shards
}

fn homes() -> impl Iterator<Item = ids::ShardId> {
    let ids = (0..claims::ID_SHARDS).filter_map(claims::id_shard);
    let jobs = (0..claims::JOB_SHARDS).filter_map(claims::job_shard);
    ids.chain(jobs)
}
