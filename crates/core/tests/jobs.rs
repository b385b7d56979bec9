//! The affinity key of a job.

use bytes::Bytes;
use pumiceway_core::Job;

/// Paths that consist of the class only have no affinity key; the query does not count.
#[test]
fn the_affinity_key_depends_on_the_last_path_segment() {
    let affinity_key = |path: &str| {
        let job = Job {
            id: "a".into(),
            unique_id: None,
            path: path.into(),
            idempotency_key: None,
            body: Bytes::new(),
        };
        job.affinity_key()
    };
    let without_key = (
        affinity_key("/rate-push"),
        affinity_key("/rate-push/"),
        affinity_key("/"),
    );
    assert_eq!(without_key, (None, None, None));
    assert_eq!(
        affinity_key("/rate-push/7f3a"),
        affinity_key("/booking-import/7f3a?x=1")
    );
    let key = affinity_key("/rate-push/7f3a");
    assert!(key.is_some() && key != affinity_key("/rate-push/7f3b"));
}
