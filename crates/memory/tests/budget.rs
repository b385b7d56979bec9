//! Checks who draws, who waits and who is revoked while memory is short.

use pumiceway_memory::{AccountedBuffer, DrawError, Holder, MemoryAccount, MemoryBudget, Revoked};
use std::future::Future;
use std::io::Read;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

const TOTAL: usize = 160_000;
const SECOND: Duration = Duration::from_secs(1);

/// Counts how often it is woken.
#[derive(Default)]
struct CountingWaker(AtomicUsize);

impl Wake for CountingWaker {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

fn holding(budget: &MemoryBudget, holder: Holder, bytes: usize, now: Instant) -> MemoryAccount {
    let mut account = budget.open(holder, now);
    account.try_draw(bytes, now).unwrap();
    account
}

fn poll_once<T>(future: impl Future<Output = T>) -> Poll<T> {
    pin!(future).poll(&mut Context::from_waker(Waker::noop()))
}

#[test]
fn what_is_drawn_is_returned_when_an_account_is_dropped() {
    let (budget, now) = (MemoryBudget::new(TOTAL), Instant::now());
    let mut account = holding(&budget, Holder::Response, 1_000, now);
    account.try_draw(500, now).unwrap();
    account.give_back(300);
    assert_eq!((account.held(), budget.report().drawn), (1_200, 1_200));
    drop(account);
    let report = budget.report();
    assert_eq!((report.drawn, report.highest), (0, 1_500));
    assert_eq!(report.by_holder, [0; Holder::ALL.len()]);
}

#[test]
fn the_largest_amount_held_for_the_longest_time_is_revoked_first() {
    let (budget, start) = (MemoryBudget::new(TOTAL), Instant::now());
    let large = holding(&budget, Holder::Response, 90_000, start);
    let small = holding(&budget, Holder::Response, 10_000, start);
    let now = start + SECOND;
    // Larger, but new.
    let mut new = holding(&budget, Holder::Response, 50_000, now);
    assert_eq!(new.try_draw(20_000, now), Err(DrawError::Waiting));
    assert!(large.is_revoked());
    assert!(!small.is_revoked() && !new.is_revoked());
    // Nobody else is revoked before the first has given up.
    assert_eq!(new.try_draw(20_000, now), Err(DrawError::Waiting));
    assert_eq!(budget.report().revoked, 1);
    drop(large);
    assert_eq!(new.try_draw(20_000, now), Ok(()));
}

#[test]
fn an_account_is_revoked_itself_if_no_other_weighs_more() {
    let (budget, now) = (MemoryBudget::new(TOTAL), Instant::now());
    let mut small = holding(&budget, Holder::Response, 60_000, now);
    let mut large = holding(&budget, Holder::Response, 90_000, now);
    assert_eq!(
        large.try_draw(20_000, now),
        Err(DrawError::Revoked(Revoked))
    );
    // It stays revoked, and those that wait for it get what it held.
    assert_eq!(large.try_draw(1, now), Err(DrawError::Revoked(Revoked)));
    assert_eq!(small.try_draw(20_000, now), Err(DrawError::Waiting));
    drop(large);
    assert_eq!(small.try_draw(20_000, now), Ok(()));
}

#[test]
fn a_settled_account_is_not_revoked() {
    let (budget, start) = (MemoryBudget::new(TOTAL), Instant::now());
    let mut settled = holding(&budget, Holder::Response, 150_000, start);
    settled.settle(start).unwrap();
    let now = start + SECOND;
    let mut other = budget.open(Holder::Response, now);
    assert!(matches!(
        other.try_draw(20_000, now),
        Err(DrawError::Revoked(_))
    ));
    assert!(!settled.is_revoked());
    settled.unsettle(now);
    let mut third = budget.open(Holder::Response, now + SECOND);
    assert_eq!(
        third.try_draw(20_000, now + SECOND),
        Err(DrawError::Waiting)
    );
    assert_eq!(settled.settle(now + SECOND), Err(Revoked));
}

// Clients must not use up what the responses to their requests need, and large requests must not
// use up what small ones need.
#[test]
fn clients_leave_room_for_responses_and_large_requests_for_small_ones() {
    let (budget, now) = (MemoryBudget::new(TOTAL), Instant::now());
    let take = |holder: Holder, bytes: usize| {
        let mut accounts = vec![];
        loop {
            let mut account = budget.open(holder, now);
            if account.try_draw(bytes, now).is_err() {
                return accounts;
            }
            account.settle(now).unwrap();
            accounts.push(account);
        }
    };
    let connections = take(Holder::Connection, 10_000);
    assert_eq!(connections.len(), 8);
    let large = take(Holder::Request, 20_000);
    assert_eq!(large.len(), 2);
    let small = take(Holder::Request, 2_000);
    assert_eq!(small.len(), 10);
    assert_eq!(take(Holder::Response, 10_000).len(), 2);
}

#[test]
fn only_holders_of_its_kind_are_revoked_for_a_limit_of_that_kind() {
    let (budget, start) = (MemoryBudget::new(TOTAL), Instant::now());
    let response = holding(&budget, Holder::Response, 60_000, start);
    let old = holding(&budget, Holder::Connection, 40_000, start);
    let now = start + SECOND;
    let mut new = holding(&budget, Holder::Connection, 30_000, now);
    assert_eq!(new.try_draw(20_000, now), Err(DrawError::Waiting));
    assert!(old.is_revoked() && !response.is_revoked());
}

#[test]
fn those_that_wait_are_woken_when_memory_is_returned_and_those_revoked_at_once() {
    let (budget, start) = (MemoryBudget::new(TOTAL), Instant::now());
    let slow = holding(&budget, Holder::Response, 150_000, start);
    let slow_waker = Arc::new(CountingWaker::default());
    let waker = Waker::from(slow_waker.clone());
    assert!(
        slow.poll_revoked(&mut Context::from_waker(&waker))
            .is_pending()
    );
    let now = start + SECOND;
    let mut quick = budget.open(Holder::Response, now);
    let quick_waker = Arc::new(CountingWaker::default());
    let waker = Waker::from(quick_waker.clone());
    let mut cx = Context::from_waker(&waker);
    assert!(quick.poll_draw(20_000, now, &mut cx).is_pending());
    assert_eq!(slow_waker.0.load(Ordering::Relaxed), 1);
    assert_eq!(quick_waker.0.load(Ordering::Relaxed), 0);
    drop(slow);
    assert_eq!(quick_waker.0.load(Ordering::Relaxed), 1);
    assert_eq!(quick.poll_draw(20_000, now, &mut cx), Poll::Ready(Ok(())));
}

#[test]
fn an_account_that_waits_is_woken_when_it_is_revoked() {
    let (budget, start) = (MemoryBudget::new(TOTAL), Instant::now());
    let _settled = {
        let mut account = holding(&budget, Holder::Response, 100_000, start);
        account.settle(start).unwrap();
        account
    };
    let slow = holding(&budget, Holder::Response, 50_000, start);
    let mut waiting = holding(&budget, Holder::Response, 5_000, start + SECOND);
    let counting = Arc::new(CountingWaker::default());
    let waker = Waker::from(counting.clone());
    let mut cx = Context::from_waker(&waker);
    assert!(
        waiting
            .poll_draw(20_000, start + SECOND, &mut cx)
            .is_pending()
    );
    let mut new = budget.open(Holder::Response, start + SECOND * 2);
    assert_eq!(
        new.try_draw(58_000, start + SECOND * 2),
        Err(DrawError::Waiting)
    );
    assert!(slow.is_revoked() && waiting.is_revoked());
    assert_eq!(counting.0.load(Ordering::Relaxed), 1);
    assert_eq!(
        waiting.poll_draw(1, start + SECOND * 2, &mut cx),
        Poll::Ready(Err(Revoked))
    );
}

#[test]
fn a_buffer_draws_its_capacity_and_its_bytes_pay_until_the_last_clone_is_dropped() {
    let (budget, now) = (MemoryBudget::new(TOTAL), Instant::now());
    let mut buffer = AccountedBuffer::new(budget.open(Holder::Request, now));
    for _ in 0..100 {
        let extended = poll_once(buffer.extend(&[7; 100], || now));
        assert_eq!(extended, Poll::Ready(Ok(())));
    }
    assert!((10_000..=15_000).contains(&budget.report().drawn));
    let mut content = vec![];
    buffer.reader().read_to_end(&mut content).unwrap();
    assert_eq!(content, [7; 10_000]);
    let bytes = buffer.into_bytes(now).unwrap();
    assert_eq!((bytes.len(), budget.report().drawn), (10_000, 10_000));
    let part = bytes.slice(..10);
    drop(bytes);
    assert_eq!(budget.report().drawn, 10_000);
    drop(part);
    assert_eq!(budget.report().drawn, 0);
}

#[test]
fn a_buffer_whose_account_is_revoked_cannot_grow_or_be_kept() {
    let (budget, start) = (MemoryBudget::new(TOTAL), Instant::now());
    let mut buffer = AccountedBuffer::new(budget.open(Holder::Response, start));
    let content = vec![1; 150_000];
    assert!(poll_once(buffer.extend(&content, || start)).is_ready());
    let now = start + SECOND;
    let mut other = budget.open(Holder::Response, now);
    assert!(other.try_draw(20_000, now).is_err());
    assert_eq!(
        poll_once(buffer.extend(&[1], || now)),
        Poll::Ready(Err(Revoked))
    );
    assert!(buffer.into_bytes(now).is_err());
    assert_eq!(budget.report().drawn, 0);
}

#[test]
fn a_content_made_from_a_buffer_pays_for_itself() {
    let (budget, now) = (MemoryBudget::new(TOTAL), Instant::now());
    let mut buffer = AccountedBuffer::new(budget.open(Holder::Response, now));
    assert!(poll_once(buffer.extend(&[b'x'; 10_000], || now)).is_ready());
    let content = buffer.replace_by(b"result".to_vec(), now);
    assert_eq!(budget.report().drawn, "result".len());
    let bytes = bytes::Bytes::from(content);
    assert_eq!(&bytes[..], b"result");
    drop(bytes);
    assert_eq!(budget.report().drawn, 0);
}

// Those that come later, and are quicker to try again, must not keep out those that wait.
#[test]
fn those_that_wait_are_served_in_turn() {
    let (budget, start) = (MemoryBudget::new(TOTAL), Instant::now());
    let slow = holding(&budget, Holder::Response, 150_000, start);
    let now = start + SECOND;
    let mut first = budget.open(Holder::Response, now);
    assert_eq!(first.try_draw(100_000, now), Err(DrawError::Waiting));
    let mut second = budget.open(Holder::Response, now);
    assert_eq!(second.try_draw(50_000, now), Err(DrawError::Waiting));
    // There is room for this one, but it would have to come out of what the first waits for.
    let mut third = budget.open(Holder::Response, now);
    assert!(third.try_draw(10_000, now).is_err());
    drop(slow);
    assert_eq!(second.try_draw(50_000, now), Ok(()));
    assert_eq!(first.try_draw(100_000, now), Ok(()));
    assert_eq!(third.try_draw(10_000, now), Ok(()));
}

#[test]
fn an_account_that_is_dropped_while_it_waits_leaves_its_turn_to_others() {
    let (budget, start) = (MemoryBudget::new(TOTAL), Instant::now());
    let slow = holding(&budget, Holder::Response, 150_000, start);
    let now = start + SECOND;
    let mut first = budget.open(Holder::Response, now);
    assert_eq!(first.try_draw(100_000, now), Err(DrawError::Waiting));
    let mut second = budget.open(Holder::Response, now);
    assert_eq!(second.try_draw(50_000, now), Err(DrawError::Waiting));
    drop((slow, first));
    assert_eq!(second.try_draw(150_000, now), Ok(()));
}

// A waker holds the memory of its task, which must not live as long as a result.
#[test]
fn a_settled_account_keeps_no_waker() {
    let (budget, now) = (MemoryBudget::new(TOTAL), Instant::now());
    let counting = Arc::new(CountingWaker::default());
    let waker = Waker::from(counting.clone());
    let mut account = holding(&budget, Holder::Response, 1_000, now);
    assert!(
        account
            .poll_revoked(&mut Context::from_waker(&waker))
            .is_pending()
    );
    drop(waker);
    assert_eq!(Arc::strong_count(&counting), 2);
    account.settle(now).unwrap();
    assert_eq!(Arc::strong_count(&counting), 1);
}

/// A waker, and what counts how often it is woken.
fn counting_waker() -> (Arc<CountingWaker>, Waker) {
    let counting = Arc::new(CountingWaker::default());
    (counting.clone(), Waker::from(counting))
}

// Guards against giving up what was begun, because others that are settled have not returned their
// memory yet.
#[test]
fn a_settled_account_waits_for_others_that_are_settled_or_become_revocable() {
    let (budget, start) = (MemoryBudget::new(TOTAL), Instant::now());
    let mut held = holding(&budget, Holder::Response, 150_000, start);
    held.settle(start).unwrap();
    let mut waiting = budget.open(Holder::Response, start);
    waiting.settle(start).unwrap();
    let (woken, waker) = counting_waker();
    let mut cx = Context::from_waker(&waker);
    assert!(waiting.poll_draw(20_000, start, &mut cx).is_pending());
    assert!(!waiting.is_revoked() && !held.is_revoked());
    held.unsettle(start);
    assert_eq!(woken.0.load(Ordering::Relaxed), 1);
    assert!(waiting.poll_draw(20_000, start, &mut cx).is_pending());
    assert!(held.is_revoked());
    drop(held);
    assert_eq!(woken.0.load(Ordering::Relaxed), 2);
    assert_eq!(
        waiting.poll_draw(20_000, start, &mut cx),
        Poll::Ready(Ok(()))
    );
}

#[test]
fn what_must_not_be_refused_is_drawn_over_the_total_and_changes_no_standing() {
    let (budget, start) = (MemoryBudget::new(TOTAL), Instant::now());
    let mut account = holding(&budget, Holder::Outbox, 1_000, start);
    account.draw_unrefused(TOTAL, start);
    assert_eq!(account.held(), TOTAL + 1_000);
    let mut other = budget.open(Holder::Response, start + SECOND);
    assert_eq!(other.try_draw(1, start + SECOND), Err(DrawError::Waiting));
    assert!(account.is_revoked());
    account.draw_unrefused(1, start + SECOND);
    assert!(account.is_revoked());
}

// A queue holds little itself, and the results in it are settled.
#[test]
fn what_others_return_with_an_account_counts_for_it() {
    let (budget, start) = (MemoryBudget::new(TOTAL), Instant::now());
    let now = start + SECOND;
    let mut result = holding(&budget, Holder::Response, 130_000, start);
    result.settle(start).unwrap();
    let mut queue = holding(&budget, Holder::Outbox, 300, start);
    queue.set_releases(130_000);
    let large = holding(&budget, Holder::Response, 20_000, start);
    // More than the large one holds. With a limit of its own kind, the drawing account would be revoked.
    let mut drawing = budget.open(Holder::Response, now);
    assert_eq!(drawing.try_draw(50_000, now), Err(DrawError::Waiting));
    assert!(queue.is_revoked() && !large.is_revoked());
    // The queue gives up the result before anything else.
    queue.set_releases(0);
    drop(result);
    assert_eq!(drawing.try_draw(50_000, now), Ok(()));
    assert!(!large.is_revoked());
}

// Otherwise it would wait until something else is returned.
#[test]
fn an_account_behind_one_that_stops_waiting_is_woken() {
    let (budget, start) = (MemoryBudget::new(TOTAL), Instant::now());
    let slow = holding(&budget, Holder::Response, 100_000, start);
    let now = start + SECOND;
    let mut first = budget.open(Holder::Response, now);
    assert_eq!(first.try_draw(100_000, now), Err(DrawError::Waiting));
    let mut second = budget.open(Holder::Response, now);
    let (woken, waker) = counting_waker();
    let mut cx = Context::from_waker(&waker);
    assert!(second.poll_draw(50_000, now, &mut cx).is_pending());
    drop(first);
    assert_eq!(woken.0.load(Ordering::Relaxed), 1);
    assert_eq!(second.poll_draw(50_000, now, &mut cx), Poll::Ready(Ok(())));
    drop(slow);
}
