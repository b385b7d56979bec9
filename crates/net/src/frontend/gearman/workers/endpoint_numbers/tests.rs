use super::*;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn the_number_of_a_session_that_was_lost_with_a_job_is_reserved_for_a_time() {
    let now = Instant::now();
    let mut numbers = EndpointNumbers::default();
    let allocated: Vec<u64> = (0..3).map(|_| numbers.allocate(now)).collect();
    assert_eq!(allocated, [0, 1, 2]);
    numbers.release(0, Some(now + SECOND));
    numbers.release(1, None);
    assert_eq!(numbers.allocate(now), 1);
    assert_eq!(numbers.allocate(now), 3);
    assert_eq!(numbers.allocate(now + SECOND), 0);
}

#[test]
fn the_number_of_reservations_is_bounded() {
    let now = Instant::now();
    let mut numbers = EndpointNumbers::default();
    for _ in 0..2 * MAX_RESERVED {
        let number = numbers.allocate(now);
        numbers.release(number, Some(now + SECOND));
    }
    assert_eq!(numbers.reserved.len(), MAX_RESERVED);
    assert!(numbers.allocate(now) <= MAX_RESERVED as u64);
}
