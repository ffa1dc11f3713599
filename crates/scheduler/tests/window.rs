//! The paper's figures (section III.E, table IV), one by one.

use cranehill_scheduler::Window;

#[test]
fn starts_at_half_of_the_slots() {
    assert_eq!(Window::new(10).size(), 5.0);
}

#[test]
fn two_answers_grow_it_by_a_tenth() {
    let mut w = Window::new(10);
    w.answered();
    assert_eq!(w.size(), 5.0);
    w.answered();
    assert!((w.size() - 5.1).abs() < 1e-9);
}

#[test]
fn a_cut_takes_half_and_resets_the_counter() {
    let mut w = Window::new(10);
    w.answered();
    w.cut();
    assert_eq!(w.size(), 4.5);
    w.answered();
    assert_eq!(w.size(), 4.5);
    w.answered();
    assert!((w.size() - 4.6).abs() < 1e-9);
}

#[test]
fn size_stays_between_the_minimum_and_three_quarters_of_the_slots() {
    let mut w = Window::new(10);
    (0..50).for_each(|_| w.cut());
    assert_eq!(w.size(), 0.5);
    assert_eq!(w.chance(), Some(0.5));
    (0..1000).for_each(|_| w.answered());
    assert_eq!(w.size(), 7.5);
    assert!(w.has_room(6));
    assert!(
        !w.has_room(7),
        "an eighth call of ten slots would pass three quarters"
    );
}

#[test]
fn calls_in_flight_stay_strictly_below_the_size() {
    let w = Window::new(8);
    assert!(w.has_room(3));
    assert!(!w.has_room(4));
    assert_eq!(w.chance(), None);
}
