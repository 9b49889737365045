//! All entry instances are replaced under load: one by one by planned stops, and
//! all at once by SIGKILL. The ledgers of the runners and workers check the
//! invariants.
//!
//! Callers behave like a balancer: they try the next address only if a connection
//! is refused.

#![expect(clippy::unwrap_used, reason = "A test may panic.")]

mod harness;
mod replace_support;

use figscale_types::headers;
use figscale_types::verdict::Verdict;
use harness::wait_until;
use replace_support::Callers;
use replace_support::JOB_ONCE;
use replace_support::JOB_REPEATABLE;
use replace_support::TASKS;
use rstest::rstest;

const ENTRIES: usize = 3;
const RUNNERS: usize = 4;

/// Starts the cell with tasks that outlast the test.
async fn cell() -> harness::Cell {
    let cell = harness::Cell::start(replace_support::plan(ENTRIES, 1, RUNNERS)).await;
    replace_support::make_ready(&cell, &[0, 1, 2]).await;
    for (name, idempotent) in [(JOB_ONCE, false), (JOB_REPEATABLE, true)] {
        replace_support::submit(&cell, 0, name, idempotent).await;
    }
    wait_until("running tasks", || async {
        replace_support::running_tasks(&cell, JOB_ONCE) == TASKS
            && replace_support::running_tasks(&cell, JOB_REPEATABLE) == TASKS
    })
    .await;
    cell
}

/// Stops one entry instance gracefully and starts a new process in its place:
/// `new` is the same index, for the same name, or another one.
async fn replace(cell: &mut harness::Cell, old: usize, new: usize, after: &[usize]) {
    assert_eq!(cell.stop(old).await, Some(0), "{}", cell.log(old));
    cell.unlist(old);
    cell.launch(new);
    cell.wait_until_live(new).await;
    cell.wait_for_members(after).await;
    replace_support::wait_until_served(cell, new).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn replaced_one_by_one_nothing_is_cut_off() {
    let mut cell = cell().await;
    let callers = Callers::start(&cell, ENTRIES + 1, 1);
    callers.wait_for_answers(200).await;
    replace(&mut cell, 0, 3, &[1, 2, 3]).await;
    replace(&mut cell, 1, 1, &[1, 2, 3]).await;
    replace(&mut cell, 2, 0, &[0, 1, 3]).await;
    callers.wait_for_answers(200).await;
    let results = callers.stop().await;
    results.check_invariants(&cell);
    assert_eq!(results.cut_off, Vec::<String>::new());
    assert_eq!(cell.tasks.violations(), []);
    for name in [JOB_ONCE, JOB_REPEATABLE] {
        assert_eq!(replace_support::starts(&cell, name), [1; TASKS], "{name}");
        assert_eq!(replace_support::running_tasks(&cell, name), TASKS, "{name}");
    }
}

/// All are killed at once; new processes start under the same names, or one under a
/// new name.
#[rstest]
#[case::same_names([0, 1, 2])]
#[case::a_new_name([3, 1, 2])]
#[tokio::test(flavor = "multi_thread")]
async fn replaced_all_at_once_guarantees_hold(#[case] new: [usize; ENTRIES]) {
    let mut cell = cell().await;
    let callers = Callers::start(&cell, ENTRIES + 1, 2);
    callers.wait_for_answers(200).await;
    for entry in 0..ENTRIES {
        cell.signal(entry, nix::sys::signal::Signal::SIGKILL);
    }
    for entry in 0..ENTRIES {
        assert_eq!(cell.wait_for_exit(entry).await, None);
        cell.unlist(entry);
    }
    for entry in new {
        cell.launch(entry);
    }
    cell.wait_for_members(&new).await;
    for entry in new {
        replace_support::wait_until_served(&cell, entry).await;
    }
    callers.wait_for_answers(200).await;
    // Retries of requests that already ran must not run again.
    let results = callers.stop().await;
    results.check_invariants(&cell);
    for id in results.once_answered.iter().take(20) {
        let call = replace_support::call(cell.caller_address(new[1]), *id, false);
        let answer = cell.client.send_within(replace_support::LIMIT, call).await;
        let verdict: Verdict = answer.unwrap().header(headers::VERDICT).parse().unwrap();
        assert_ne!(verdict, Verdict::NotRun, "{id} was answered before");
        assert_eq!(cell.requests.runs(&id.to_string()), 1);
    }
    replace_support::submit(&cell, new[0], "afterwards", true).await;
    wait_until("a new job's tasks", || async {
        replace_support::running_tasks(&cell, "afterwards") == TASKS
    })
    .await;
    wait_until("the repeatable tasks", || async {
        replace_support::running_tasks(&cell, JOB_REPEATABLE) == TASKS
    })
    .await;
    assert_eq!(cell.tasks.violations(), []);
    assert_eq!(replace_support::starts(&cell, JOB_ONCE), [1; TASKS]);
    assert_eq!(cell.requests.violations(), []);
}
