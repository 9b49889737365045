//! The set of shards.

use figscale_types::claims;
use figscale_types::ids;
use figscale_types::instances;
use indexmap::IndexMap;

/// Groups runners and workers by shard, and adds the home shards of request ids
/// and jobs, which have no instances.
pub fn by_shard(
    list: &instances::InstanceList,
) -> IndexMap<ids::ShardId, Vec<instances::Instance>> {
    let mut shards: IndexMap<ids::ShardId, Vec<instances::Instance>> = IndexMap::new();
    for instance in &list.instances {
        if let Some(shard) = claims::shard_of(instance) {
            shards.entry(shard).or_default().push(instance.clone());
        }
    }
    for shard in home_shards() {
        shards.entry(shard).or_default();
    }
    shards.sort_keys();
    shards
}

fn home_shards() -> impl Iterator<Item = ids::ShardId> {
    let ids = (0..claims::ID_SHARDS).filter_map(claims::id_shard);
    let jobs = (0..claims::JOB_SHARDS).filter_map(claims::job_shard);
    ids.chain(jobs)
}
