//! The `cell` command runs the whole scenario of each user without a violated
//! guarantee.

use std::process;

use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_figscale-standin");

#[rstest]
#[case::fraser_reach("fraser-reach")]
#[case::firth_shore("firth-shore")]
fn a_cell_runs_the_scenario_without_violations(#[case] user: &str) {
    let output = process::Command::new(PROGRAM)
        .args(["cell", "--once", "--seconds", "1", "--user", user])
        .output()
        .unwrap();
    let stdout_text = String::from_utf8_lossy(&output.stdout).into_owned();
    let stderr_text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{stdout_text}\n{stderr_text}");
    assert!(
        stdout_text.contains("No promise was broken."),
        "{stdout_text}"
    );
}
