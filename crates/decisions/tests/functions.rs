//! Additional functions: requests go only to endpoints that list their function, and wait for one
//! otherwise.

mod common;
use common::*;
use pumiceway_decisions::api::*;
use std::collections::{BTreeMap, BTreeSet};

const FUNCTIONS: usize = 70;
const ENDPOINTS: u32 = 6;

fn settings_with_functions() -> Settings {
    Settings {
        functions: vec![ClassId(0); FUNCTIONS],
        health_checks: false,
        ..settings(Idempotency::Idempotent)
    }
}

/// A worker that takes one request at a time.
fn worker(endpoint: u32, functions: &FunctionSet) -> EndpointEntry<'_> {
    EndpointEntry {
        functions,
        max_concurrent: Some(1),
        ..entry(endpoint, 0)
    }
}

fn set(functions: &[usize]) -> FunctionSet {
    functions.iter().copied().map(FunctionId).collect()
}

/// The endpoints to which requests are sent by these actions.
fn sends(actions: &[Action]) -> Vec<(RequestId, u32)> {
    let send = |action: &Action| match action {
        Action::Send {
            request, endpoint, ..
        } => Some((*request, endpoint.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

#[test]
fn a_set_of_functions_holds_what_was_inserted_and_not_removed() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut others = (FunctionSet::default(), BTreeSet::new());
    for _ in 0..50 {
        let (mut set, mut expected) = (FunctionSet::default(), BTreeSet::new());
        for _ in 0..rng.usize(0..40) {
            let function = FunctionId(rng.usize(0..200));
            if rng.u32(0..3) == 0 {
                set.remove(function);
                expected.remove(&function);
            } else {
                set.insert(function);
                expected.insert(function);
            }
        }
        assert_eq!(set.iter().collect::<BTreeSet<_>>(), expected);
        assert_eq!(set, expected.iter().copied().collect());
        assert_eq!(set.is_empty(), expected.is_empty());
        assert!((0..200).all(|n| set.contains(FunctionId(n)) == expected.contains(&FunctionId(n))));
        let (other_set, other_expected) = &others;
        let difference: BTreeSet<_> = expected.difference(other_expected).copied().collect();
        let symmetric = expected.symmetric_difference(other_expected).copied();
        assert_eq!(set.difference(other_set), difference.into_iter().collect());
        assert_eq!(set.symmetric_difference(other_set), symmetric.collect());
        assert_eq!(
            set.intersects(other_set),
            !expected.is_disjoint(other_expected)
        );
        let mut union = set.clone();
        union.extend(other_set);
        assert_eq!(union, expected.union(other_expected).copied().collect());
        others = (set, expected);
    }
}

#[test]
fn a_function_of_an_unknown_class_is_rejected() {
    let mut settings = settings_with_functions();
    settings.functions[3] = ClassId(1);
    let error = settings.validate().unwrap_err();
    assert_eq!(
        error.to_string(),
        "class of a function 1 is out of range: there are 1"
    );
}

// Guards against a worker that is given a job that it cannot do, when its own function's workers are
// all busy or lost.
#[test]
fn a_request_is_sent_and_retried_only_where_its_function_is_listed() {
    let (first, second) = (set(&[1]), set(&[2]));
    let workers = [worker(0, &first), worker(1, &second), worker(2, &first)];
    let mut host = TestHost::new(settings_with_functions(), &workers, 1.0);
    host.function = Some(FunctionId(1));
    let (request, actions) = host.submit(0, 1.0);
    let at = sent_to(&actions).unwrap();
    assert!(at == 0 || at == 2);
    let actions = host.attempt_finished(request, 0, at, Outcome::Reset);
    assert_eq!(sends(&actions), [(request, 2 - at)]);
    let actions = host.attempt_finished(request, 1, 2 - at, Outcome::Reset);
    assert_eq!(sends(&actions), []);
    // Neither kind nor class of the other worker makes it a right one; a list that names the function
    // does.
    assert_eq!(sends(&host.advance(40 * MS, &[])), []);
    let both = set(&[1, 2]);
    host.update_endpoints(ListKind::Delta, &[worker(1, &both)]);
    assert_eq!(sends(&host.advance(40 * MS, &[])), [(request, 1)]);
}

/// A model of what the balancer has been told, and what it has sent.
struct Model {
    listed: BTreeMap<u32, FunctionSet>,
    busy: BTreeMap<u32, RequestId>,
    waiting: BTreeMap<RequestId, FunctionId>,
    functions: BTreeMap<RequestId, FunctionId>,
}

impl Model {
    fn record(&mut self, actions: &[Action]) {
        for (request, endpoint) in sends(actions) {
            let function = self.functions[&request];
            assert!(
                self.listed[&endpoint].contains(function),
                "{request:?} of {function:?} was sent to {endpoint}"
            );
            assert_eq!(self.busy.insert(endpoint, request), None);
            self.waiting.remove(&request);
        }
        for action in actions {
            if let Action::Shed { request, .. } | Action::Fail { request } = action {
                self.waiting.remove(request);
            }
        }
    }

    /// Whether a request waits although an endpoint is free that lists its function.
    fn has_forgotten_request(&self) -> bool {
        let is_free = |endpoint: &&u32| !self.busy.contains_key(endpoint);
        let free: Vec<_> = self.listed.keys().filter(is_free).collect();
        self.waiting.values().any(|function| {
            free.iter()
                .any(|endpoint| self.listed[endpoint].contains(*function))
        })
    }
}

// Each request goes to a worker that lists its function, and none waits while there is a free one,
// whatever the workers list meanwhile.
#[test]
fn requests_of_many_functions_wait_for_a_right_worker_and_are_not_forgotten() {
    for seed in 0..30 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut settings = settings_with_functions();
        settings.classes[0].max_queue_time = Some(2_000 * MS);
        settings.max_queued = 64;
        let none = FunctionSet::default();
        let workers: Vec<_> = (0..ENDPOINTS).map(|id| worker(id, &none)).collect();
        let mut host = TestHost::new(settings, &workers, 1.0);
        let mut model = Model {
            listed: (0..ENDPOINTS).map(|id| (id, none.clone())).collect(),
            busy: BTreeMap::new(),
            waiting: BTreeMap::new(),
            functions: BTreeMap::new(),
        };
        for _ in 0..400 {
            let actions = match rng.u32(0..4) {
                0 => {
                    let id = rng.u32(0..ENDPOINTS);
                    let functions: Vec<_> = (0..4).map(|_| rng.usize(0..FUNCTIONS)).collect();
                    let functions = set(&functions);
                    model.listed.insert(id, functions.clone());
                    host.update_endpoints(ListKind::Delta, &[worker(id, &functions)])
                }
                1 => {
                    let function = FunctionId(rng.usize(0..FUNCTIONS));
                    host.function = Some(function);
                    let id = RequestId(model.functions.len() as u64);
                    model.functions.insert(id, function);
                    model.waiting.insert(id, function);
                    host.arrive(0, 1.0).1
                }
                _ => {
                    let busy = model.busy.keys().copied().collect::<Vec<_>>();
                    let Some(&endpoint) = busy.first() else {
                        continue;
                    };
                    let request = model.busy.remove(&endpoint).unwrap();
                    host.attempt_finished(request, 0, endpoint, Outcome::Success)
                }
            };
            model.record(&actions);
            let actions = host.advance(20 * MS, &[]);
            model.record(&actions);
            assert!(!model.has_forgotten_request(), "seed {seed}");
        }
        assert!(model.functions.len() > 50);
    }
}

// The order of preference does not depend on whether an endpoint may serve a request by its kind or by
// its functions.
#[test]
fn a_function_that_every_endpoint_lists_is_placed_as_its_class_is() {
    let all = set(&[5]);
    let decisions = |function| {
        let workers: Vec<_> = (0..ENDPOINTS).map(|id| worker(id, &all)).collect();
        let mut host = TestHost::new(settings_with_functions(), &workers, 1.0);
        host.function = function;
        let mut sent = Vec::new();
        for n in 0..20 {
            let (_, actions) = host.submit(0, 1.0);
            sent.extend(sends(&actions));
            if n % 3 == 0
                && let Some((request, endpoint)) = sent.get(n / 3).copied()
            {
                sent.extend(sends(&host.attempt_finished(
                    request,
                    0,
                    endpoint,
                    Outcome::Success,
                )));
            }
        }
        sent
    };
    let by_class = decisions(None);
    assert!(by_class.len() > 6);
    assert_eq!(decisions(Some(FunctionId(5))), by_class);
}

// Guards against a request that waits although a worker is free: one that finds none, also where
// endpoints are asked for their load, stood for all later ones of its class.
#[test]
fn a_request_without_a_worker_holds_up_none_of_another_function() {
    for health_checks in [true, false] {
        let settings = Settings {
            health_checks,
            ..settings_with_functions()
        };
        let second = set(&[2]);
        let mut host = TestHost::new(settings, &[worker(0, &second)], 1.0);
        host.function = Some(FunctionId(2));
        let (running, actions) = host.submit(0, 1.0);
        assert_eq!(sends(&actions), [(running, 0)]);
        host.function = Some(FunctionId(1));
        let (_, actions) = host.submit(0, 1.0);
        assert_eq!(sends(&actions), []);
        host.function = Some(FunctionId(2));
        let (waiting, actions) = host.submit(0, 1.0);
        assert_eq!(sends(&actions), []);
        let actions = host.attempt_finished(running, 0, 0, Outcome::Success);
        assert_eq!(sends(&actions), [(waiting, 0)], "{health_checks}");
    }
}
