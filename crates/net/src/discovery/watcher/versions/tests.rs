//! Versions that increase, lag behind and restart.

use super::*;

const RENUMBERED_AFTER: Duration = Duration::from_secs(60);

#[test]
fn a_lower_version_is_outdated_until_the_service_has_caught_up() {
    let now = Instant::now();
    let mut versions = ListVersions::new(Some(7));
    for (version, order) in [
        (7, VersionOrder::Current),
        (9, VersionOrder::Current),
        (3, VersionOrder::Outdated),
        (8, VersionOrder::Outdated),
        (9, VersionOrder::Current),
    ] {
        assert_eq!(versions.observe(version, now, RENUMBERED_AFTER), order);
        assert_eq!(versions.last(), Some(version));
        assert_eq!(versions.is_outdated(), order == VersionOrder::Outdated);
    }
}

#[test]
fn versions_that_stay_lower_for_long_enough_are_accepted() {
    let mut versions = ListVersions::new(Some(9));
    let first = versions.observe(3, Instant::now(), RENUMBERED_AFTER);
    assert_eq!(first, VersionOrder::Outdated);
    let later = Instant::now() + RENUMBERED_AFTER;
    let second = versions.observe(4, later, RENUMBERED_AFTER);
    assert_eq!(second, VersionOrder::Renumbered);
    assert!(!versions.is_outdated());
    let next = versions.observe(5, later, RENUMBERED_AFTER);
    assert_eq!(next, VersionOrder::Current);
}

#[test]
fn a_version_that_is_not_lower_resets_the_time_of_lower_versions() {
    let mut versions = ListVersions::new(Some(9));
    versions.observe(3, Instant::now(), RENUMBERED_AFTER);
    versions.observe(9, Instant::now(), RENUMBERED_AFTER);
    let as_of = Instant::now() + RENUMBERED_AFTER / 2;
    let order = versions.observe(4, as_of, RENUMBERED_AFTER);
    assert_eq!(order, VersionOrder::Outdated);
}

#[test]
fn the_first_version_of_a_service_is_current() {
    let mut versions = ListVersions::new(None);
    assert_eq!(versions.last(), None);
    let order = versions.observe(0, Instant::now(), RENUMBERED_AFTER);
    assert_eq!(order, VersionOrder::Current);
}
