//! The test harness itself: if an address of a cell is in use, the start is
//! repeated with other addresses.

mod harness;

use std::net;

#[tokio::test(flavor = "multi_thread")]
async fn a_cell_is_restarted_with_another_address() {
    let taken = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let taken_address = taken.local_addr().unwrap();
    let plan = harness::Plan {
        caller_address: Some(taken_address),
        ..harness::Plan::default()
    };
    let cell = harness::Cell::start(plan).await;
    assert_ne!(cell.caller_address(0), taken_address);
    cell.wait_for_members(&[0, 1]).await;
}
