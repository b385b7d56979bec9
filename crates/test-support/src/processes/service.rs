//! Discovery as one service for all dispatchers: it works through calls in turn, with a capacity of
//! its own.

use super::workers::Workers;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A call that waits for its turn for longer than this fails, and is worked through all the same.
const WAITS_MOST: Duration = Duration::from_secs(2);

/// How a call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It is answered 503.
    Unavailable,
    /// Its connection is reset.
    Reset,
}

/// What a call costs the service.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Each call.
    pub call: Duration,
    /// And each line of its answer.
    pub line: Duration,
}

/// The usual cost: a small fleet is served at once.
pub const CHEAP: Cost = Cost {
    call: Duration::from_millis(2),
    line: Duration::from_micros(100),
};

/// The service, which all dispatchers share.
pub struct Service {
    /// Whose list it tells.
    pub workers: Arc<Workers>,
    state: Mutex<State>,
}

struct State {
    /// When it went up and down in turn; it is up after an odd number.
    turns: Vec<Instant>,
    /// How calls fail while it is down, and after what time.
    down: (Failure, Duration),
    cost: Cost,
    /// How calls fail that waited too long.
    crowded: Failure,
    /// When it has worked through all calls so far.
    free: Instant,
}

impl State {
    fn up(&self) -> bool {
        self.turns.len() % 2 == 1
    }
}

impl Service {
    /// One that is up.
    pub fn start(workers: Arc<Workers>) -> Arc<Service> {
        let now = Instant::now();
        let down = (Failure::Unavailable, Duration::ZERO);
        let crowded = Failure::Unavailable;
        let state = State {
            turns: vec![now],
            down,
            cost: CHEAP,
            crowded,
            free: now,
        };
        Arc::new(Service {
            workers,
            state: Mutex::new(state),
        })
    }

    /// Waits for the turn of a call whose answer has so many lines.
    pub fn take_turn(&self, lines: usize) -> Result<(), Failure> {
        let arrived = Instant::now();
        let (done, crowded) = {
            let mut state = self.state.lock().unwrap();
            if !state.up() {
                let (failure, after) = state.down;
                drop(state);
                std::thread::sleep(after);
                return Err(failure);
            }
            let begins = state.free.max(arrived);
            state.free = begins + state.cost.call + state.cost.line * lines as u32;
            (
                state.free,
                (begins - arrived > WAITS_MOST).then_some(state.crowded),
            )
        };
        if let Some(failure) = crowded {
            std::thread::sleep(WAITS_MOST);
            return Err(failure);
        }
        std::thread::sleep(done.saturating_duration_since(Instant::now()));
        match self.is_up() {
            true => Ok(()),
            false => Err(self.state.lock().unwrap().down.0),
        }
    }

    /// Whether it is up.
    pub fn is_up(&self) -> bool {
        self.state.lock().unwrap().up()
    }

    /// It goes down; calls fail in this way after this time, and its watches end.
    pub fn go_down(&self, failure: Failure, after: Duration) {
        let mut state = self.state.lock().unwrap();
        if state.up() {
            state.turns.push(Instant::now());
        }
        state.down = (failure, after);
    }

    /// It is up again.
    pub fn come_up(&self) {
        let mut state = self.state.lock().unwrap();
        if !state.up() {
            state.turns.push(Instant::now());
        }
    }

    /// Calls cost so much from now on, and those that wait too long fail in this way.
    pub fn set_cost(&self, cost: Cost, crowded: Failure) {
        let mut state = self.state.lock().unwrap();
        (state.cost, state.crowded) = (cost, crowded);
    }

    /// When it first had a change that was made at this time and could be reached; never, if it
    /// stayed down.
    pub fn reachable_from(&self, changed: Instant) -> Option<Instant> {
        let state = self.state.lock().unwrap();
        let mut ups = state
            .turns
            .chunks(2)
            .filter(|turn| turn.get(1).is_none_or(|&down| down > changed));
        ups.next().map(|turn| turn[0].max(changed))
    }
}
