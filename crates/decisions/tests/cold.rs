//! A worker that has just started, and the instances that send to it without knowing of each other. The work
//! of all of them is summed over every window that slides along the time it is cold.

mod common;
use common::*;
use pumiceway_decisions::api::*;

/// When jobs reach an instance, and of which class: asked every 20 ms.
type Traffic = fn(me: usize, at: Micros) -> Option<usize>;

const STEP: Micros = 20 * MS;
const SLOTS: f64 = 4.0;
/// When the cold worker starts, all instances having learnt by then.
const BEGINS: Micros = START + 1_000_000 * MS;

/// A scene: how many instances, how long a job of each class runs, and what comes in.
struct Scene {
    instances: usize,
    runs: Vec<Micros>,
    traffic: Traffic,
    /// Spread of what reports say of an idle worker's slots.
    noise: f64,
    /// How much longer jobs run on the cold worker's kind than at speed 1, as which their work is hinted.
    slow: Option<Micros>,
    /// Hinted jobs are of very unlike sizes, not all of the mean.
    unlike: bool,
    /// How long jobs waited in queues before they ran, while the instances learnt.
    waits: Micros,
}

/// Places in a normal distribution, in no order.
const DRAWS: [f64; 10] = [0.4, -0.7, 1.5, -0.1, -1.5, 0.1, -1.0, 0.7, -0.4, 1.0];

impl Scene {
    /// The largest share of its budget that the worker is sent within any window, and all work it is sent in
    /// shares of what it can do while it is cold.
    fn play(&self) -> (f64, f64) {
        let mut s = settings(Effect::Safe);
        s.classes = self.runs.iter().map(|_| class(Effect::Safe)).collect();
        (s.instances, s.kinds, s.tells_start) = (self.instances, 2, true);
        (s.cold_from, s.cold_for, s.tip_multiple, s.fall_window) = (0.15, 17_000 * MS, 1.5, 1_500 * MS);
        let mut all: Vec<Bench> =
            (0..self.instances).map(|me| self.taught(Settings { me, ..s.clone() })).collect();
        let warm = |age: Micros| s.cold_from + (1.0 - s.cold_from) * age as f64 / s.cold_for as f64;
        let mut sends: Vec<(Micros, Micros)> = Vec::new();
        for age in (0..s.cold_for).step_by(STEP as usize) {
            for (me, t) in all.iter_mut().enumerate() {
                t.now = BEGINS + age;
                t.hint = self.hint(me + (age / STEP) as usize);
                t.free = self.reported(me + (age / STEP) as usize);
                let mut new = t.event(Event::Wake);
                if let Some(class) = (self.traffic)(me, age) {
                    new.extend(t.ask(class, 1.0).1);
                }
                let mut at = 0;
                while at < new.len() {
                    match new[at] {
                        Action::Probe { worker } => new.extend(t.report(worker.0, t.free)),
                        Action::Send { request, .. } => {
                            let run = self.run(t.hint_of(request).unwrap_or(self.runs[t.class_of(request)]));
                            sends.push((age, run));
                            // It is served at once, so that only the turns hold anything back.
                            new.extend(t.served(request, 0, run));
                        }
                        _ => {}
                    }
                    at += 1;
                }
            }
        }
        let mut most = 0.0f64;
        for &(from, _) in &sends {
            let within = sends.iter().filter(|&&(at, _)| at >= from && at < from + s.fall_window);
            let work: Micros = within.map(|&(_, work)| work).sum();
            let budget = s.tip_multiple * SLOTS * warm(from + s.fall_window / 2) * s.fall_window as f64;
            most = most.max(work as f64 / budget);
        }
        let could = SLOTS * s.cold_for as f64 * (1.0 + s.cold_from) / 2.0;
        (most, sends.iter().map(|&(_, work)| work as f64).sum::<f64>() / could)
    }

    fn run(&self, work: Micros) -> Micros {
        work * self.slow.unwrap_or(1)
    }

    fn hint(&self, n: usize) -> Option<Micros> {
        let unlike = [10, 40, 290, 20, 160, 80][n % 6];
        self.slow.map(|_| self.runs[0] * if self.unlike { unlike } else { 100 } / 100)
    }

    fn reported(&self, n: usize) -> f64 {
        // One in a hundred is far out.
        let draw = if n % 97 == 20 { 4.0 } else { DRAWS[n % DRAWS.len()] };
        SLOTS * (1.0 + self.noise * draw)
    }

    /// An instance that has learnt from a warm worker how long jobs run, before that worker left.
    fn taught(&self, s: Settings) -> Bench {
        let mut t = Bench::new(s, &[entry(1, 0)], SLOTS);
        for n in 0..200 * self.runs.len() {
            let class = n % self.runs.len();
            t.report(1, self.reported(n));
            t.hint = self.hint(n);
            let (r, out) = t.ask(class, 1.0);
            if let Some(worker) = sent(&out) {
                t.now += self.waits;
                let note = Note::Started;
                t.event(Event::Note(Progress { request: r, attempt: 0, worker: WorkerId(worker), note }));
                let run = self.run(t.hint_of(r).unwrap_or(self.runs[class]));
                t.now += run;
                t.served(r, worker, self.waits + run);
            }
        }
        assert!(t.now < BEGINS, "{}", t.now);
        t.now = BEGINS;
        let left = Entry { state: WorkerState::Gone, ..entry(1, 0) };
        t.event(Event::List {
            kind: ListKind::Changes,
            entries: &[left, Entry { ready_at: BEGINS, ..entry(0, 0) }],
        });
        t
    }
}

fn within_budget(scene: Scene) {
    within(scene, 1.1);
}

fn within(scene: Scene, allowed: f64) {
    let (most, used) = scene.play();
    assert!(most <= allowed, "{most:.2} of its budget was sent within one window");
    assert!(used > 0.5, "only {used:.2} of what it could do was used");
}

#[test]
fn a_cold_worker_that_all_wait_for_stays_within_its_budget_over_every_window() {
    within_budget(Scene {
        instances: 45,
        runs: vec![200 * MS],
        traffic: |_, _| Some(0),
        noise: 0.0,
        slow: None,
        waits: 0,
        unlike: false,
    });
}

#[test]
fn a_cold_worker_stays_within_its_budget_when_traffic_sets_in_at_any_moment_of_a_turn() {
    const QUIET: Micros = 3_000 * MS;
    const BUSY: Micros = 1_500 * MS;
    // Each time the traffic sets in at another place within a turn, of whatever length turns are.
    within_budget(Scene {
        instances: 45,
        runs: vec![200 * MS],
        traffic: |_, at| ((at + at / 7) % (QUIET / 3 + BUSY) < BUSY).then_some(0),
        noise: 0.0,
        slow: None,
        waits: 0,
        unlike: false,
    });
}

#[test]
fn heavy_jobs_use_up_more_of_a_cold_workers_budget_than_light_ones() {
    // Light ones most of the time, so that the mean is a light one's, then nothing but heavy ones.
    let traffic: Traffic = |me, at| Some(usize::from(at / (5_000 * MS) % 2 == 1 || me % 9 == 0));
    // Grants are whole jobs, and one heavy job is a good part of what a very cold worker may be sent.
    within(
        Scene {
            instances: 45,
            runs: vec![100 * MS, 500 * MS],
            traffic,
            noise: 0.0,
            slow: None,
            waits: 0,
            unlike: false,
        },
        1.2,
    );
}

#[test]
fn one_report_far_above_the_others_does_not_swell_a_cold_workers_budget() {
    // The mean of reports that are nearly free lies a fifth above the middle of such noise.
    within(
        Scene {
            instances: 45,
            runs: vec![200 * MS],
            traffic: |_, _| Some(0),
            noise: 0.2,
            slow: None,
            waits: 0,
            unlike: false,
        },
        1.4,
    );
}

#[test]
fn a_cold_worker_of_a_slow_kind_has_the_smaller_budget_of_its_speed() {
    let traffic: Traffic = |_, _| Some(0);
    within_budget(Scene {
        instances: 45,
        runs: vec![200 * MS],
        traffic,
        noise: 0.0,
        slow: Some(2),
        waits: 0,
        unlike: false,
    });
}

#[test]
fn waits_in_queues_do_not_make_jobs_look_too_long_for_a_cold_worker() {
    let traffic: Traffic = |_, _| Some(0);
    let runs = vec![200 * MS];
    within_budget(Scene {
        instances: 45,
        runs,
        traffic,
        noise: 0.0,
        slow: None,
        waits: 400 * MS,
        unlike: false,
    });
}

#[test]
fn a_job_that_would_push_a_cold_worker_over_by_itself_is_never_sent_there() {
    for hint in [20_000 * MS, 100 * MS] {
        let mut taken = 0;
        for n in 0..20 {
            let cold = Entry { ready_at: START - 3_700 * MS - n, ..entry(0, 0) };
            let mut t = Bench::new(settings(Effect::Safe), &[cold], SLOTS);
            t.hint = Some(hint);
            for _ in 0..4 {
                t.pass(1_000 * MS, &[0]);
                t.report(0, SLOTS);
                taken += t.spread(1).iter().flatten().count();
            }
        }
        assert_eq!(taken > 0, hint < 1_000 * MS, "{taken} jobs of {hint} us");
    }
}

#[test]
fn a_choice_of_jobs_of_very_unlike_hints_does_not_add_up_to_more_than_the_budget() {
    let traffic: Traffic = |_, _| Some(0);
    let runs = vec![400 * MS];
    // The heaviest job is a good part of the budget.
    within(Scene { instances: 45, runs, traffic, noise: 0.0, slow: Some(1), unlike: true, waits: 0 }, 1.2);
}
