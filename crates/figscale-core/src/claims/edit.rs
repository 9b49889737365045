//! Edits of the claims document.

use figscale_types::claims;
use figscale_types::ids;

/// Removes one incarnation of a member. Its shards become free and count as
/// not clean, since its work may still be in progress.
pub(super) fn evict(document: &mut claims::Claims, key: &ids::MemberKey) {
    if document.key_of(&key.id).as_ref() == Some(key) {
        remove(document, &key.id);
    }
    for shard in document.shards.values_mut() {
        if shard.holder.as_ref() == Some(key) {
            shard.holder = None;
            shard.clean = false;
        }
    }
}

/// Removes a member that holds no shard.
pub(super) fn remove(document: &mut claims::Claims, id: &ids::MemberId) {
    document.members.shift_remove(id);
    document.witnesses.shift_remove(id);
}

/// Assigns a free shard to `holder`.
pub(super) fn assign(document: &mut claims::Claims, id: &ids::ShardId, holder: ids::MemberKey) {
    let shard = document
        .shards
        .entry(id.clone())
        .or_insert_with(|| claims::Shard {
            // It never had a holder.
            clean: true,
            ..claims::Shard::default()
        });
    shard.holder = Some(holder);
    shard.epoch = shard.epoch.next();
}

/// Hands over a drained shard; without a target the shard becomes free.
pub(super) fn hand_over(
    document: &mut claims::Claims,
    id: &ids::ShardId,
    to: Option<ids::MemberKey>,
    clean: bool,
) {
    if let Some(shard) = document.shards.get_mut(id) {
        shard.clean = clean;
        shard.holder = to;
        shard.epoch = shard.epoch.next();
    }
}

/// Whether the shard has no holder.
pub(super) fn is_free(document: &claims::Claims, id: &ids::ShardId) -> bool {
    let shard = document.shards.get(id);
    shard.is_none_or(|shard| shard.holder.is_none())
}
