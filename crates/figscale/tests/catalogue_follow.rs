//! A change accepted at one entry instance comes into force at all.

mod harness;

use figscale_types::ids;
use figscale_types::operator;

#[tokio::test(flavor = "multi_thread")]
async fn a_change_comes_into_force_at_two_entry_instances() {
    let cell = harness::Cell::start(harness::Plan::default()).await;
    cell.wait_for_members(&[0, 1]).await;
    let answer = cell
        .operator(0)
        .apply(&harness::operator::change(0, 1))
        .await
        .unwrap();
    assert_eq!(answer.revision, ids::Revision(1));
    cell.wait_for_revision(&[0, 1], 1).await;
    let conflict = cell
        .operator(1)
        .apply(&harness::operator::change(0, 2))
        .await
        .unwrap_err();
    assert_eq!(conflict.kind, operator::ErrorKind::Conflict);
    cell.operator(1)
        .apply(&harness::operator::change(1, 2))
        .await
        .unwrap();
    cell.wait_for_revision(&[0, 1], 2).await;
    let status = cell.operator(0).status().await.unwrap();
    assert!(
        status
            .in_force
            .values()
            .all(|revision| *revision == Some(ids::Revision(2)))
    );
}
