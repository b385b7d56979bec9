use super::*;

fn kept(entries: usize, bytes: usize) -> Kept {
    Kept::new(Retention { time: 100, entries, running: 2, bytes })
}

fn id(n: u64) -> Identity {
    Identity(n.to_string())
}

// Guards against memory without bound, and against room made by forgetting what may have run.
#[test]
fn answers_are_kept_for_their_time_and_never_pushed_out() {
    let mut kept = kept(3, 10);
    let failed = Answer::Failed("x");
    for n in 0..3 {
        assert_eq!(kept.look_up(0, &id(n)), Known::New);
        kept.begin(id(n), RequestId(n));
        assert_eq!(kept.look_up(0, &id(n)), Known::Running(RequestId(n)));
        kept.end(n, id(n), &failed);
    }
    assert_eq!(kept.look_up(99, &id(9)), Known::NoRoom);
    assert_eq!(kept.look_up(99, &id(0)), Known::Over(failed));
    assert_eq!(kept.look_up(100, &id(0)), Known::New);
    assert_eq!(kept.len(), 2);
}

#[test]
fn results_past_the_bound_are_kept_as_failures_and_busy_answers_not_at_all() {
    let mut kept = kept(9, 10);
    let result = Answer::Served("12345678".into());
    for n in 0..3 {
        kept.begin(id(n), RequestId(n));
    }
    assert_eq!(kept.look_up(0, &id(7)), Known::NoRoom);
    kept.end(0, id(0), &result);
    kept.end(1, id(1), &result);
    kept.end(1, id(2), &Answer::Busy { retry_after: None });
    assert_eq!(kept.look_up(1, &id(0)), Known::Over(result.clone()));
    assert!(matches!(kept.look_up(1, &id(1)), Known::Over(Answer::Failed(_))));
    assert_eq!(kept.look_up(1, &id(2)), Known::New);
    // The bytes of what is forgotten are free again.
    kept.expire(500);
    kept.begin(id(3), RequestId(3));
    kept.end(500, id(3), &result);
    assert_eq!(kept.look_up(501, &id(3)), Known::Over(result));
}
