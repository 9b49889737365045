//! Sizes and run times are learned from tasks that ended.

use std::time;

use figscale_core::job::placement::learn;
use figscale_types::sizes;
use rstest::rstest;

use crate::helpers;

fn entry(number: usize) -> figscale_types::ids::EntryName {
    format!("entry-{number}").parse().expect("legal")
}

/// The size learned from these samples of processor use.
#[rstest]
#[case::nothing(&[], 0)]
#[case::too_few(&[40_000, 40_000], 0)]
#[case::unobserved_use_does_not_count(&[0, 0, 0, 0], 0)]
#[case::constant_use_is_learned_exactly(&[4_000; 3], 4_000)]
#[case::ten_times_over_use(&[40_000; 3], 40_000)]
#[case::one_outlier_in_forty([&[1_000; 39][..], &[50_000][..]].concat().leak(), 1_000)]
#[case::tenth_of_the_tasks_is_large([1_000, 1_000, 1_000, 1_000, 9_000, 1_000, 1_000, 1_000, 1_000, 1_000].repeat(4).leak(), 9_000)]
#[case::a_changed_program_is_learned_anew([&[60_000; 50][..], &[2_000; 150][..]].concat().leak(), 2_000)]
fn processor_use_is_learned(#[case] samples: &[u64], #[case] expected: u64) {
    let mut learner = learn::Learner::new(learn::LearnConfig::default());
    for cpu in samples {
        let peak = helpers::size(*cpu, 0, 0);
        learner.observe(&entry(0), &helpers::owner("a"), &peak, None);
    }
    let learned = learner.learned(&entry(0), &helpers::owner("a"));
    assert_eq!(learned.size.cpu_millis, sizes::CpuMillis(expected));
    assert_eq!(learned.run, None);
}

#[test]
fn run_times_are_learned_separately_by_owner() {
    let mut learner = learn::Learner::new(learn::LearnConfig::default());
    for (owner, run_s) in [("a", 10), ("b", 600)] {
        for _ in 0..5 {
            let run = Some(time::Duration::from_secs(run_s));
            learner.observe(
                &entry(0),
                &helpers::owner(owner),
                &helpers::size(1, 1, 0),
                run,
            );
        }
    }
    let run = |owner| learner.learned(&entry(0), &helpers::owner(owner)).run;
    assert_eq!(run("a"), Some(time::Duration::from_secs(10)));
    assert_eq!(run("b"), Some(time::Duration::from_secs(600)));
}

#[test]
fn pairs_are_bounded_and_the_least_recently_sampled_is_removed() {
    let config = learn::LearnConfig {
        max_pairs: 10,
        ..learn::LearnConfig::default()
    };
    let mut learner = learn::Learner::new(config);
    for number in 0..100 {
        for _ in 0..3 {
            learner.observe(
                &entry(number),
                &helpers::owner("a"),
                &helpers::size(7, 7, 0),
                None,
            );
            learner.observe(
                &entry(0),
                &helpers::owner("a"),
                &helpers::size(9, 9, 0),
                None,
            );
        }
    }
    assert_eq!(learner.pairs(), 10);
    let cpu = |number| {
        learner
            .learned(&entry(number), &helpers::owner("a"))
            .size
            .cpu_millis
            .0
    };
    assert_eq!((cpu(0), cpu(99), cpu(50)), (9, 7, 0));
}
