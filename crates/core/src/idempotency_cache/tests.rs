use super::*;
use crate::JobFunction;
use pumiceway_decisions::api::ClassId;

fn cache(max_entries: usize, max_bytes: usize) -> IdempotencyCache {
    IdempotencyCache::new(IdempotencyCacheLimits {
        retention: Duration::from_micros(100),
        max_entries,
        max_running: 2,
        max_bytes,
        max_entry_bytes: 16 << 20,
    })
}

fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

fn id(number: u64) -> UniqueId {
    named(number.to_string())
}

fn named(name: String) -> UniqueId {
    UniqueId {
        function: JobFunction::default_of(ClassId(0)),
        name,
    }
}

/// Memory is bounded without evicting entries: a request that may have run could run again.
#[test]
fn responses_that_must_not_be_repeated_are_cached_for_their_time_and_never_evicted() {
    let mut cache = cache(3, 10);
    let failed = ClientResponse::Failed(Failure::NotServed);
    for number in 0..3 {
        assert_eq!(cache.look_up(at(0), &id(number)), Lookup::New);
        cache.begin(id(number), RequestId(number));
        assert_eq!(
            cache.look_up(at(0), &id(number)),
            Lookup::Running(RequestId(number))
        );
        cache.complete(at(number), id(number), &failed, false);
    }
    assert_eq!(cache.look_up(at(99), &id(9)), Lookup::Full);
    assert_eq!(cache.look_up(at(99), &id(0)), Lookup::Cached(failed));
    assert_eq!(cache.look_up(at(100), &id(0)), Lookup::New);
    assert_eq!(cache.len(), 2);
}

#[test]
fn results_that_do_not_fit_are_cached_as_failures_and_overload_responses_are_not_cached() {
    let mut cache = cache(9, 10);
    let result = ClientResponse::Served("12345678".into());
    for number in 0..3 {
        cache.begin(id(number), RequestId(number));
    }
    assert_eq!(cache.look_up(at(0), &id(7)), Lookup::Full);
    cache.complete(at(0), id(0), &result, false);
    cache.complete(at(1), id(1), &result, false);
    cache.complete(
        at(1),
        id(2),
        &ClientResponse::Overloaded { retry_after: None },
        false,
    );
    assert_eq!(cache.look_up(at(1), &id(0)), Lookup::Cached(result.clone()));
    let not_cached = ClientResponse::Failed(Failure::ResultNotCached);
    assert_eq!(cache.look_up(at(1), &id(1)), Lookup::Cached(not_cached));
    assert_eq!(cache.look_up(at(1), &id(2)), Lookup::New);
    // An expired response no longer counts towards the limit in bytes.
    cache.expire(at(500));
    cache.begin(id(3), RequestId(3));
    cache.complete(at(500), id(3), &result, false);
    assert_eq!(cache.look_up(at(501), &id(3)), Lookup::Cached(result));
}

// One client under ever new unique ids must not keep all others out for as long as responses are
// cached.
#[test]
fn responses_to_idempotent_requests_are_evicted_for_new_unique_ids() {
    let mut cache = cache(3, 10);
    let result = ClientResponse::Served("12345678".into());
    for (number, is_idempotent) in [(0, true), (1, false), (2, true)] {
        cache.begin(id(number), RequestId(number));
        cache.complete(at(number), id(number), &result, is_idempotent);
    }
    assert_eq!(cache.look_up(at(9), &id(3)), Lookup::New);
    assert_eq!(cache.len(), 2);
    cache.begin(id(3), RequestId(3));
    assert_eq!(cache.look_up(at(9), &id(4)), Lookup::New);
    cache.begin(id(4), RequestId(4));
    // The one that must not be repeated is still cached, and there are no others to evict.
    assert!(matches!(cache.look_up(at(9), &id(1)), Lookup::Cached(_)));
    assert_eq!(cache.look_up(at(9), &id(5)), Lookup::Full);
}

#[test]
fn a_result_that_must_not_be_repeated_evicts_those_of_idempotent_requests() {
    let mut cache = cache(9, 10);
    let result = ClientResponse::Served("12345678".into());
    for (number, is_idempotent) in [(0, true), (1, false)] {
        cache.begin(id(number), RequestId(number));
        cache.complete(at(number), id(number), &result, is_idempotent);
    }
    assert_eq!(cache.look_up(at(9), &id(0)), Lookup::New);
    assert_eq!(cache.look_up(at(9), &id(1)), Lookup::Cached(result));
}

#[test]
fn long_unique_ids_count_towards_a_limit_of_their_own() {
    let mut cache = cache(100, 10);
    cache.limits.max_entry_bytes = 4_000;
    let long = |number: u64| named(format!("{number}{}", "x".repeat(1_000)));
    cache.begin(long(0), RequestId(0));
    assert_eq!(cache.look_up(at(0), &long(1)), Lookup::Full);
    assert_eq!(cache.look_up(at(0), &id(1)), Lookup::New);
    cache.forget(&long(0));
    assert_eq!(
        (cache.look_up(at(0), &long(1)), cache.len()),
        (Lookup::New, 0)
    );
}
