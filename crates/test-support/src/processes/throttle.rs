//! Leaves a process a part of a processor core, by suspending and resuming it in turn.

use rustix::process::{Pid, Signal, kill_process};
use std::time::Duration;

/// A throttled process is suspended and runs for these times in turn: for a quarter of the time.
const SUSPENDED: Duration = Duration::from_millis(15);
const RUNNING: Duration = Duration::from_millis(5);

/// Throttles a process until `is_over`.
pub fn throttle(process: u32, is_over: impl Fn() -> bool) {
    while !is_over() {
        send_signal(process, Signal::STOP);
        std::thread::sleep(SUSPENDED);
        send_signal(process, Signal::CONT);
        std::thread::sleep(RUNNING);
    }
}

/// Sends a signal to a process. It may have ended already.
pub(super) fn send_signal(process: u32, signal: Signal) {
    if let Some(process) = Pid::from_raw(process as i32) {
        let _ = kill_process(process, signal);
    }
}
