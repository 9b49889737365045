//! Faults of real entry instances under load. Stand-in runners check that none
//! gets a request from a holder after one from its successor, or more requests
//! than it has slots for.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod claims_support;
mod harness;

use std::net;
use std::time;

use claims_support::Cell;
use claims_support::LEASE_MS;
use figscale_standin::client;
use figscale_standin::runner;
use figscale_types::headers;
use figscale_types::ids;
use nix::sys::signal;
use rstest::rstest;
use serde_json::json;

/// Concurrent callers of each entry instance.
const CALLERS: usize = 3;
/// The shard whose holder is subjected to faults.
const SHARD: &str = "runner/rating/d0/r1";

struct Loaded {
    cell: Cell,
    ledger: runner::Ledger,
    _runners: Vec<runner::Handle>,
    callers: tokio::task::JoinSet<()>,
}

async fn loaded(len: usize) -> Loaded {
    let mut cell = Cell::new(len).await;
    let ledger = runner::Ledger::default();
    let mut runners = Vec::new();
    for name in ["runner-1", "runner-2"] {
        let config = runner::Config {
            id: name.parse().unwrap(),
            ledger: ledger.clone(),
            ..runner::Config::default()
        };
        let handle = runner::start(config).await.unwrap();
        cell.platform.change_instances(|list| {
            let line = list.iter_mut().find(|line| line.id.as_str() == name);
            line.unwrap().address = handle.address();
        });
        runners.push(handle);
    }
    cell.start_all().await;
    cell.wait_for_witnesses().await;
    apply_catalogue(cell.operator_address(0)).await;
    let mut callers = tokio::task::JoinSet::new();
    for index in 0..cell.len() {
        for _ in 0..CALLERS {
            callers.spawn(call_in_loop(cell.caller_address(index)));
        }
    }
    let mut loaded = Loaded {
        cell,
        ledger,
        _runners: runners,
        callers,
    };
    loaded.wait_for_dispatch_above(ids::Epoch(0)).await;
    loaded
}

async fn apply_catalogue(operator: net::SocketAddr) {
    let change = json!({
        "base": 0,
        "change": "01890a5d-ac96-774b-bcce-b302099a8057",
        "author": "test",
        "note": "",
        "catalogue": {
            "owners": { "desk": {} },
            "entries": { "quote": { "owner": "desk", "policy": { "requests": {
                "service": "rating", "urgency": "interactive", "max_run_ms": 500,
            } } } },
        },
    });
    let call = client::Call::post(operator, "/v1/catalogue");
    let call = call.json(&change).unwrap();
    let answer = client::Client::default().send(call).await.unwrap();
    assert!(answer.status.is_success(), "{}", answer.text());
}

/// Calls one entry instance in a loop; errors are expected under faults.
async fn call_in_loop(caller: net::SocketAddr) {
    let client = client::Client::default();
    loop {
        let call = client::Call::post(caller, "/v1/run/quote")
            .header(headers::OWNER, "desk")
            .header(headers::IDEMPOTENT, "true")
            .header(headers::BUDGET_MS, 400);
        let limit = time::Duration::from_millis(600);
        let answer = client.send_within(limit, call).await;
        if !answer.is_ok_and(|answer| answer.status.is_success()) {
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }
}

impl Loaded {
    fn epoch(&self) -> ids::Epoch {
        let shard = SHARD.parse::<ids::ShardId>().unwrap();
        self.cell.document().shards[&shard].epoch
    }

    /// The index of the entry instance that holds the shard.
    fn holder(&self) -> usize {
        let shard = SHARD.parse::<ids::ShardId>().unwrap();
        let document = self.cell.document();
        let holder = document.shards[&shard].holder.clone().unwrap();
        let mut indexes = 0..self.cell.len();
        indexes.find(|i| self.cell.id(*i) == holder.id).unwrap()
    }

    /// Waits until a runner has received a request under a higher epoch.
    async fn wait_for_dispatch_above(&mut self, epoch: ids::Epoch) {
        let ledger = self.ledger.clone();
        self.cell
            .wait_until("dispatch under a higher epoch", |_| {
                ledger.requests().iter().any(|request| {
                    let holder = request.holder.as_ref();
                    holder.is_some_and(|h| h.shard.as_str() == SHARD && h.epoch > epoch)
                })
            })
            .await;
    }

    async fn check_ledger(mut self) {
        self.callers.abort_all();
        assert_eq!(self.ledger.violations(), []);
    }
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    Freeze,
    FreezeAndCutOff,
    CutStore,
    CutStoreAndPeers,
    PlannedStop,
}

#[rstest]
#[case(Fault::Kill)]
#[case(Fault::Freeze)]
#[case(Fault::FreezeAndCutOff)]
#[case(Fault::CutStore)]
#[case(Fault::CutStoreAndPeers)]
#[case(Fault::PlannedStop)]
#[tokio::test(flavor = "multi_thread")]
async fn one_dispatcher(#[case] fault: Fault) {
    let mut loaded = loaded(3).await;
    let holder = loaded.holder();
    let epoch = loaded.epoch();
    let others: Vec<_> = (0..3).filter(|index| *index != holder).collect();
    match fault {
        Fault::Kill => loaded.cell.kill(holder).await,
        Fault::Freeze => loaded.cell.signal(holder, signal::Signal::SIGSTOP),
        Fault::FreezeAndCutOff => {
            loaded.cell.signal(holder, signal::Signal::SIGSTOP);
            loaded.cell.cut_off(holder, &others);
        }
        Fault::CutStore => loaded.cell.cut_store(holder, true),
        Fault::CutStoreAndPeers => loaded.cell.cut_off(holder, &others),
        Fault::PlannedStop => loaded.cell.signal(holder, signal::Signal::SIGTERM),
    }
    loaded.wait_for_dispatch_above(epoch).await;
    if matches!(fault, Fault::Freeze | Fault::FreezeAndCutOff) {
        loaded.cell.signal(holder, signal::Signal::SIGCONT);
    }
    loaded.cell.poll_for(2 * LEASE_MS).await;
    loaded.check_ledger().await;
}
