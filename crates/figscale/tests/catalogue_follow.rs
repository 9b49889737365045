//! A change accepted at one entry instance comes into force at all.

mod harness;

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::operator;

const GOOD: &str = include_str!("data/catalogue/good.json");

fn request(base: u64, number: u32) -> operator::ApplyRequest {
    let mut catalogue: catalogue::Catalogue =
        figscale::settings::document::Document::from_text("good", GOOD)
            .unwrap()
            .parse()
            .unwrap();
    catalogue.owners[0].weight = number;
    operator::ApplyRequest {
        base: ids::Revision(base),
        change: ids::ChangeId(uuid::Uuid::now_v7()),
        author: "operator".to_owned(),
        note: format!("weight {number}"),
        catalogue,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_comes_into_force_at_two_entry_instances() {
    let cell = harness::Cell::start(harness::Plan::default()).await;
    cell.wait_for_members(&[0, 1]).await;
    let answer = cell.operator(0).apply(&request(0, 1)).await.unwrap();
    assert_eq!(answer.revision, ids::Revision(1));
    cell.wait_for_revision(&[0, 1], 1).await;
    let conflict = cell.operator(1).apply(&request(0, 2)).await.unwrap_err();
    assert_eq!(conflict.kind, operator::ErrorKind::Conflict);
    cell.operator(1).apply(&request(1, 2)).await.unwrap();
    cell.wait_for_revision(&[0, 1], 2).await;
    let status = cell.operator(0).status().await.unwrap();
    assert!(
        status
            .in_force
            .values()
            .all(|revision| *revision == Some(ids::Revision(2)))
    );
}
