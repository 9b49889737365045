//! The path of a request from caller to runner and back.

mod requests_cell;

use figscale_standin::runner;
use figscale_types::headers;
use requests_cell::Cell;
use requests_cell::QUOTE;
use requests_cell::Shape;
use rstest::rstest;

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn each_entry_instance_serves_each_runner(#[values(false, true)] idempotent: bool) {
    // With one shard, one of the two entry instances has to forward.
    let shape = Shape {
        runners: 1,
        ..Shape::default()
    };
    let cell = Cell::start(shape).await;
    for entry in 0..2 {
        let body = format!("body for {entry}");
        let call = cell
            .call(entry, QUOTE)
            .header(headers::IDEMPOTENT, idempotent)
            .body(body.clone());
        let answer = cell.send(call).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(answer.header(headers::VERDICT), "ran");
        let served_by = format!("entry-{entry}");
        assert_eq!(answer.header(headers::SERVED_BY), served_by);
        let run: runner::RunAnswer = answer.json().unwrap();
        assert_eq!(run.body_checksum, runner::checksum(body.as_bytes()));
        assert_eq!(run.request_id, answer.header(headers::REQUEST_ID));
        let checksum = runner::checksum(&answer.body);
        assert_eq!(answer.header(headers::CHECKSUM), checksum);
    }
    assert_eq!(cell.ledger.requests().len(), 2);
    assert_eq!(cell.ledger.violations(), []);
}
