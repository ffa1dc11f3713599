//! The window's parameters, as in the paper (section III.E, table IV).

use cranehill_scheduler::Window;

#[test]
fn initial_size_is_half_of_the_slots() {
    assert_eq!(Window::new(10).size(), 5.0);
}

#[test]
fn two_answers_enlarge_the_window_by_a_tenth() {
    let mut window = Window::new(10);
    window.record_answer();
    assert_eq!(window.size(), 5.0);
    window.record_answer();
    assert!((window.size() - 5.1).abs() < 1e-9);
}

#[test]
fn a_reduction_takes_half_a_call_and_resets_the_answer_count() {
    let mut window = Window::new(10);
    window.record_answer();
    window.record_overload();
    assert_eq!(window.size(), 4.5);
    window.record_answer();
    assert_eq!(window.size(), 4.5);
    window.record_answer();
    assert!((window.size() - 4.6).abs() < 1e-9);
}

#[test]
fn size_stays_between_the_minimum_and_three_quarters_of_the_slots() {
    let mut window = Window::new(10);
    (0..50).for_each(|_| window.record_overload());
    assert_eq!(window.size(), 0.5);
    assert_eq!(window.call_probability(), Some(0.5));
    (0..1000).for_each(|_| window.record_answer());
    assert_eq!(window.size(), 7.5);
    assert!(window.has_room(6));
    assert!(
        !window.has_room(7),
        "an eighth call would exceed three quarters of ten slots"
    );
}

#[test]
fn calls_in_flight_stay_strictly_below_the_size() {
    let window = Window::new(8);
    assert!(window.has_room(3));
    assert!(!window.has_room(4));
    assert_eq!(window.call_probability(), None);
}
