//! The newcomer's command does a user's whole day and finds no broken promise.

use std::process;

use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_figscale-standin");

#[rstest]
#[case::fraser_reach("fraser-reach")]
#[case::firth_shore("firth-shore")]
fn a_cell_does_its_main_job(#[case] user: &str) {
    let output = process::Command::new(PROGRAM)
        .args(["cell", "--once", "--seconds", "1", "--user", user])
        .output()
        .unwrap();
    let told = String::from_utf8_lossy(&output.stdout).into_owned();
    let wrong = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{told}\n{wrong}");
    assert!(told.contains("No promise was broken."), "{told}");
}
