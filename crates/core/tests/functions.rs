//! Functions of a class: which workers may run a job, how they are listed, and which jobs are the same.

mod common;

use common::{
    MS, TestCore, class, endpoint, request, responses, served, served_response, single_class,
    started_attempts, started_attempts_at,
};
use pumiceway_core::*;
use pumiceway_decisions::api::{ClassId, DeduplicationScope, EndpointId, Idempotency, Settings};
use std::sync::Arc;

const PLAIN: ClassId = ClassId(0);
const KEYED: ClassId = ClassId(1);
const CLASSES: [&str; 2] = ["plain", "keyed"];

/// A class without and one with idempotency keys.
fn two_classes() -> Settings {
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::Zone,
        window: 7_000 * MS,
    };
    let mut settings = single_class(Idempotency::Idempotent);
    settings.classes.push(class(keyed));
    settings
}

fn catalog(settings: &mut Settings, functions: &[(&str, ClassId)]) -> FunctionCatalog {
    FunctionCatalog::add(settings, &CLASSES, functions.iter().copied()).unwrap()
}

const FUNCTIONS: &[(&str, ClassId)] = &[
    ("plain", PLAIN),
    ("other", PLAIN),
    ("hold", KEYED),
    ("release", KEYED),
];

#[test]
fn a_class_has_the_function_of_its_name_or_its_only_one_as_default() {
    for (functions, default_of_plain, additional) in [
        (&[("plain", PLAIN)][..], Some("plain"), 0),
        (&[("push", PLAIN)], Some("push"), 0),
        (&[("plain", PLAIN), ("push", PLAIN)], Some("plain"), 1),
        (&[("close", PLAIN), ("push", PLAIN)], None, 2),
        // The name of another class makes no default.
        (&[("keyed", PLAIN), ("push", PLAIN)], None, 2),
        (&[("hold", KEYED)], None, 0),
    ] {
        let mut settings = two_classes();
        let catalog = catalog(&mut settings, functions);
        let default = JobFunction::default_of(PLAIN);
        assert_eq!(catalog.name(default), default_of_plain, "{functions:?}");
        assert_eq!(settings.functions.len(), additional, "{functions:?}");
        for (name, class) in functions {
            let function = catalog.function(name).unwrap();
            assert_eq!(
                (function.class, catalog.name(function)),
                (*class, Some(*name))
            );
        }
        let without_default = catalog.classes_without_default();
        assert_eq!(without_default.contains_key(&PLAIN), additional == 2);
        assert!(settings.validate().is_ok());
    }
    let mut settings = two_classes();
    settings.classes = vec![settings.classes[0].clone(); MAX_CLASSES + 1];
    assert!(FunctionCatalog::add(&mut settings, &[], []).is_err());
}

// Whatever a worker can do, the decisions are told what `may_run` answers, for every function.
#[test]
fn a_worker_is_listed_for_exactly_the_jobs_that_it_may_run() {
    let mut settings = two_classes();
    let catalog = catalog(&mut settings, FUNCTIONS);
    let functions: Vec<_> = FUNCTIONS
        .iter()
        .map(|(name, _)| catalog.function(name).unwrap())
        .collect();
    for subset in 0..1 << functions.len() {
        for takes_unique_ids in [true, false] {
            let mut abilities = Abilities {
                takes_unique_ids,
                ..Abilities::default()
            };
            let can_do = |index: usize| subset & (1 << index) != 0;
            for (index, function) in functions.iter().enumerate() {
                abilities.functions.insert(*function);
                if !can_do(index) {
                    abilities.functions.remove(*function);
                }
            }
            let listing = catalog.listing(&abilities);
            let mut any = false;
            for (index, function) in functions.iter().enumerate() {
                let is_listed = listing.as_ref().is_some_and(|listing| {
                    let class = &settings.classes[function.class.0];
                    match function.additional {
                        None => class.allows(catalog.worker_zone(), listing.kind),
                        Some(additional) => listing.functions.contains(additional),
                    }
                });
                let expected = can_do(index) && (takes_unique_ids || function.class == PLAIN);
                assert_eq!(catalog.may_run(&abilities, *function), expected);
                assert_eq!(is_listed, expected, "{abilities:?} {function:?}");
                any |= expected;
            }
            assert_eq!(listing.is_some(), any);
        }
    }
}

/// A core with a worker for each of these functions.
fn core_with_workers(workers: &[&str]) -> (TestCore, FunctionCatalog) {
    let mut settings = two_classes();
    let catalog = catalog(&mut settings, FUNCTIONS);
    let names = ["a", "b", "c", "d"];
    let endpoints: Vec<Endpoint> = workers
        .iter()
        .zip(names)
        .map(|(function, name)| {
            let mut abilities = Abilities::default();
            abilities
                .functions
                .insert(catalog.function(function).unwrap());
            let listing = catalog.listing(&abilities).unwrap();
            Endpoint {
                kind: listing.kind,
                functions: listing.functions,
                max_concurrent: Some(1),
                ..endpoint(name)
            }
        })
        .collect();
    (TestCore::new(settings, &endpoints), catalog)
}

/// A job of a function with this unique id.
fn job(function: JobFunction, id: &str, unique_id: Option<&str>) -> ClientRequest {
    let plain = request(function.class.0, id, 2_000 * MS);
    ClientRequest {
        function,
        id_origin: IdOrigin::Frontend,
        job: Arc::new(Job {
            unique_id: unique_id.map(str::to_owned),
            ..(*plain.job).clone()
        }),
        ..plain
    }
}

// Guards against jobs of another function that are joined, or get its response.
#[test]
fn two_jobs_are_the_same_only_with_function_and_unique_id() {
    let (mut core, catalog) = core_with_workers(&["plain", "other"]);
    let plain = catalog.function("plain").unwrap();
    let other = catalog.function("other").unwrap();
    assert!(plain.additional.is_none() && other.additional.is_some());
    let first = core.submit_request(1, job(plain, "t1", Some("u")));
    let second = core.submit_request(2, job(other, "t2", Some("u")));
    let (first, second) = (started_attempts_at(&first), started_attempts_at(&second));
    assert_eq!((first[0].1, second[0].1), (EndpointId(0), EndpointId(1)));
    assert!(started_attempts(&core.submit_request(3, job(other, "t3", Some("u")))).is_empty());
    let counts = core.overview().functions;
    let one = RequestCounts {
        open: 1,
        in_flight: 1,
    };
    assert_eq!(
        counts.into_iter().collect::<Vec<_>>(),
        [(plain, one), (other, one)]
    );
    let effects = core.end_attempt(second[0].0, served());
    let handles: Vec<u64> = responses(&effects)
        .iter()
        .map(|(handle, _)| *handle)
        .collect();
    assert_eq!(handles, [2, 3]);
    // The one that ended has a cached response, the other one is still running.
    let effects = core.submit_request(4, job(other, "t4", Some("u")));
    assert_eq!(responses(&effects), [(4, served_response())]);
    assert!(responses(&core.submit_request(5, job(plain, "t5", Some("u")))).is_empty());
}

// Guards against a worker that is given a job under the name of another function.
#[test]
fn an_attempt_names_the_function_of_its_job() {
    let (mut core, catalog) = core_with_workers(&["plain", "other", "hold", "release"]);
    for (handle, (name, _)) in FUNCTIONS.iter().enumerate() {
        let function = catalog.function(name).unwrap();
        let effects = core.submit_request(handle as u64, job(function, name, None));
        let started = effects.iter().find_map(|effect| match effect {
            Effect::StartAttempt {
                function, endpoint, ..
            } => Some((*function, *endpoint)),
            _ => None,
        });
        assert_eq!(started, Some((function, EndpointId(handle as u32))));
    }
}

// Guards against decisions that change with one function a class: what is learnt from a job that ends after
// its worker has taken all abilities back counts for the kind of the first class.
#[test]
fn a_worker_that_may_run_nothing_has_the_kind_of_the_first_class() {
    let mut settings = two_classes();
    let catalog = catalog(&mut settings, FUNCTIONS);
    let mut abilities = Abilities::default();
    abilities.functions.insert(JobFunction::default_of(PLAIN));
    let listing = catalog.listing(&abilities).unwrap();
    assert_eq!(catalog.kind_of_none(), listing.kind);
}
