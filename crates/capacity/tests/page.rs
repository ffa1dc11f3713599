//! Update and parsing of the page, comparison of a new run with it, and files of sizes.

use cranehill_capacity::compare::{Verdict, compare};
use cranehill_capacity::page::{PageError, Run, stated, updated};
use cranehill_capacity::sizes::{Sizes, SizesError};
use cranehill_capacity::{Figure, Sample, Samples, Sweep, catalog, derived, plot, table};

const EMPTY: &str = "# Page\n\n<!-- figures of the full run -->\n<!-- end of the full run -->\n\ntext\n\
                     <!-- figures of the quick run -->\n<!-- end of the quick run -->\n";

fn figure(id: &str, value: impl Fn(f64) -> f64) -> Figure {
    let sizes = [10.0, 100.0, 1_000.0, 10_000.0, 57_000.0];
    let samples = sizes.map(|size| Sample {
        size,
        value: value(size),
    });
    let samples = Samples::new(samples.to_vec()).expect("finite samples");
    Figure::fitted(catalog::quantity(id).expect("in the catalog"), samples).expect("a fit")
}

fn list_taken(holds: f64) -> Figure {
    let samples = Samples::new(vec![Sample {
        size: holds,
        value: 1.0,
    }])
    .expect("a sample");
    let quantity = catalog::quantity("destinations.list-taken").expect("in the catalog");
    Figure::limit(
        quantity,
        samples,
        holds,
        (holds < 57_000.0).then_some(holds + 1.0),
    )
}

fn memory(bytes_per_destination: f64) -> Figure {
    figure("destinations.resident", |n| 6e6 + bytes_per_destination * n)
}

fn verdicts(page: &str, run: Run, fresh: &[Figure]) -> Vec<Verdict> {
    compare(
        run,
        fresh,
        &stated(page, run).expect("the page can be parsed"),
    )
}

#[test]
fn updated_figures_are_read_back_and_compared_with_fresh_runs() {
    let page = updated(EMPTY, Run::Full, &[memory(300.0), list_taken(500.0)]).expect("updated");
    assert_eq!(
        verdicts(&page, Run::Full, &[memory(300.0), list_taken(500.0)]),
        []
    );
    // The bound of this quantity is a quarter.
    assert_eq!(verdicts(&page, Run::Full, &[memory(360.0)]), []);
    let worse = verdicts(&page, Run::Full, &[memory(480.0)]);
    assert!(
        worse.iter().any(|v| matches!(v, Verdict::Missed { .. })),
        "{worse:?}"
    );
    let budget_exceeded = worse
        .iter()
        .any(|v| matches!(v, Verdict::BudgetExceeded { budget: 32e6, .. }));
    assert!(
        budget_exceeded,
        "23.1 MB fit into 32 MB, 33.4 MB do not: {worse:?}"
    );
    let fewer = verdicts(&page, Run::Full, &[list_taken(450.0)]);
    assert!(
        matches!(fewer[..], [Verdict::Missed { .. }]) && fewer[0].fails(),
        "{fewer:?}"
    );
    let more = verdicts(&page, Run::Full, &[list_taken(57_000.0)]);
    assert!(
        matches!(more[..], [Verdict::Better { .. }]) && !more[0].fails(),
        "{more:?}"
    );
    let other = verdicts(&page, Run::Quick, &[memory(300.0)]);
    assert!(
        matches!(other[..], [Verdict::NotOnPage { .. }]),
        "each run has its own table: {other:?}"
    );
}

#[test]
fn a_quick_run_compares_no_times() {
    let slow = |factor: f64| figure("destinations.list-step", |n| factor * n);
    let (quick, full) = (Run::Quick, Run::Full);
    let page = updated(EMPTY, quick, &[slow(1e-6)]).expect("updated");
    assert_eq!(verdicts(&page, quick, &[slow(1.0)]), []);
    let page = updated(EMPTY, full, &[slow(1e-6)]).expect("updated");
    assert!(
        verdicts(&page, full, &[slow(1.0)])
            .iter()
            .any(Verdict::fails)
    );
}

#[test]
fn an_update_keeps_rows_that_the_run_did_not_measure() {
    let page = updated(EMPTY, Run::Full, &[memory(300.0)]).expect("updated");
    let page = updated(&page, Run::Full, &[list_taken(500.0)]).expect("updated");
    assert_eq!(stated(&page, Run::Full).expect("read").len(), 2);
    assert!(page.contains("\ntext\n"));
    let marked = format!(
        "{page}<!-- worked out from the full run -->\n<!-- end of what is worked out -->\n"
    );
    let page = updated(
        &marked,
        Run::Full,
        &[figure("destinations.list-bytes", |n| 100.0 + 139.0 * n)],
    );
    assert!(
        page.expect("updated").contains("over 13 KB/s | 609.5 s |"),
        "derived from rows of this run and of earlier ones"
    );
}

#[test]
fn page_errors_name_the_line() {
    let page = updated(EMPTY, Run::Full, &[memory(300.0), list_taken(500.0)]).expect("updated");
    let read = |page: &str| stated(page, Run::Full).expect_err("a fault on the page");
    assert!(matches!(
        read(&page.replace("| yes |", "| maybe |")),
        PageError::InvalidCell { line: 7, .. }
    ));
    assert!(matches!(
        read(&page.replace("| 25% |", "| much |")),
        PageError::InvalidCell { line: 7, .. }
    ));
    let unknown = read(&page.replace("destinations.list-taken", "destinations.hope"));
    assert!(
        matches!(unknown, PageError::UnknownQuantity { line: 8, .. }),
        "{unknown}"
    );
    let twice = read(&page.replace("destinations.list-taken", "destinations.resident"));
    assert!(
        matches!(twice, PageError::DuplicateRow { line: 8, .. }),
        "{twice}"
    );
    assert!(matches!(
        read(&page.replace("| holds |", "| hopes |")),
        PageError::MissingColumn { line: 5, .. }
    ));
    assert!(matches!(read("# Page\n"), PageError::MissingMark(_)));
}

#[test]
fn fails_at_is_a_fraction_of_the_planned_size() {
    assert_eq!(list_taken(570.0).fails_at(), Some(0.01));
    assert_eq!(memory(300.0).fails_at(), None);
    let fraction = memory(1_000.0)
        .fails_at()
        .expect("63 MB do not fit into 32");
    assert!((fraction - 26_000.0 / 57_000.0).abs() < 1e-3, "{fraction}");
}

#[test]
fn invalid_sizes_are_rejected_with_their_line() {
    let read = |text: &str| Sizes::full().read(text, &[Sweep::Destinations]);
    let sizes = read("# trial\ndestinations = [1, 20, 300]\n").expect("sizes");
    assert_eq!(
        (sizes.destinations, sizes.members),
        (vec![1, 20, 300], Sizes::full().members)
    );
    let sweep = "destinations";
    assert_eq!(
        read("\ndestinations = [10, 0]"),
        Err(SizesError::Zero { line: 2, sweep })
    );
    let too_large = read("backlog = [1,\n 2,\n 99999999999]");
    let expected = SizesError::TooLarge {
        line: 3,
        sweep: "backlog",
        size: 99_999_999_999,
        max: 10_000_000,
    };
    assert_eq!(too_large, Err(expected));
    assert_eq!(
        read("members = [5, 5, 6]"),
        Err(SizesError::NotAscending {
            line: 1,
            sweep: "members",
            size: 5
        })
    );
    assert_eq!(
        read("destinations = [5, 6]"),
        Err(SizesError::TooFew {
            line: 1,
            sweep,
            given: 2
        })
    );
    assert_eq!(
        read("destinations = []"),
        Err(SizesError::Missing { sweep })
    );
    for text in [
        "destinations = [-1]",
        "destinations = \"many\"",
        "hopes = [1]",
        "destinations = [",
    ] {
        assert!(
            matches!(read(text), Err(SizesError::Syntax(error)) if error.starts_with("line 1: ")),
            "{text}"
        );
    }
    let none = Sizes::quick().read("", &[Sweep::Events]);
    assert_eq!(none, Err(SizesError::Missing { sweep: "events" }));
}

#[test]
fn zero_values_and_limits_do_not_fail_a_plot() {
    let drawn = [
        memory(300.0),
        figure("destinations.list-step", |_| 0.0),
        list_taken(500.0),
    ];
    let svg = plot::svg(&drawn.iter().collect::<Vec<_>>()).expect("a plot");
    assert!(
        svg.starts_with("<svg") && svg.contains("destinations.resident"),
        "{svg}"
    );
    assert_eq!(
        derived::of_run(&drawn).len(),
        4,
        "two header lines, and two rows that follow from the plan alone"
    );
    assert_eq!(
        [0.0, 73_256_789.0, 73_256_789.5, -0.012_346, 1e-9, 999.96]
            .map(table::number)
            .join(" "),
        "0 73,256,789 73,260,000 -0.01235 1.000e-9 1,000"
    );
}
