//! Least-squares lines through measured points.

use figscale_standin::experiment::capacity::fit;
use rstest::rstest;

fn points(all: &[(f64, f64)]) -> Vec<fit::Point> {
    all.iter()
        .map(|(size, value)| fit::Point {
            size: *size,
            value: *value,
        })
        .collect()
}

#[rstest]
#[case::exact(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)], 3.0, 2.0, 0.0)]
#[case::flat(&[(1.0, 5.0), (9.0, 5.0)], 5.0, 0.0, 0.0)]
#[case::points_off_the_line(&[(0.0, 1.0), (0.0, -1.0), (2.0, 1.0), (2.0, -1.0)], 0.0, 0.0, 1.0)]
fn the_line_has_least_squares(
    #[case] all: &[(f64, f64)],
    #[case] at_rest: f64,
    #[case] slope: f64,
    #[case] residual: f64,
) {
    let line = fit::Line::through(&points(all)).unwrap();
    let near = |one: f64, other: f64| (one - other).abs() < 1e-9;
    assert!(near(line.at_rest, at_rest), "{line:?}");
    assert!(near(line.slope, slope), "{line:?}");
    assert!(near(line.residual, residual), "{line:?}");
    assert!(near(line.at(3.0), at_rest + 3.0 * slope), "{line:?}");
}

#[rstest]
#[case::none(&[])]
#[case::one(&[(1.0, 2.0)])]
#[case::one_size(&[(1.0, 2.0), (1.0, 3.0)])]
fn no_line_with_fewer_than_two_sizes(#[case] all: &[(f64, f64)]) {
    assert_eq!(fit::Line::through(&points(all)), None);
}
