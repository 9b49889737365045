//! Entry instances join, share the shards, and leave.

mod claims_support;
mod harness;

use claims_support::Cell;
use nix::sys::signal;

#[tokio::test(flavor = "multi_thread")]
async fn one_takes_all() {
    let mut cell = Cell::new(1).await;
    cell.start_all().await;
    assert_eq!(cell.document().members.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn four_share_and_one_leaves_cleanly() {
    let mut cell = Cell::new(4).await;
    cell.start_all().await;
    cell.signal(3, signal::Signal::SIGTERM);
    assert_eq!(cell.wait_for_exit(3).await, Some(0));
    let document = cell.document();
    assert!(!document.members.contains_key(&cell.id(3)));
    let unclean = document.shards.values().filter(|shard| !shard.clean);
    assert_eq!(unclean.count(), 0, "a planned handover is clean");
    cell.wait_for_holders(&[0, 1, 2]).await;
}
