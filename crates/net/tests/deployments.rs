//! What further deployments bring along in their requests, played on loopback against stand-ins.

use pumiceway_rig::Stage;

/// Three classes, one of each kind of repeat; two tenants.
const SETTINGS: &str = r#"{"zones":["z"],"my-zone":"z","kinds":["k"],"resolution-us":1000,
  "lanes":[{"name":"lookup","aim-us":120000,"deadline-us":5000000,"points":5.0,"semantics":"read_like"},
    {"name":"order","aim-us":500000,"deadline-us":15000000,"points":5.0,"semantics":"non_idempotent"},
    {"name":"hold","aim-us":120000,"deadline-us":5000000,"points":15.0,"semantics":"idempotency_key",
     "dedup-scope":"zone","window-us":7500000}],
  "limits":{"most-tries":3,"cancel":true,"connect-timeout-us":250000,"conn-idle-us":10000000},"rules":{}}"#;

fn play(hops: &[&str], script: &str) {
    Stage::with_settings(hops, None, SETTINGS).go_on(script);
}

// Guards against a hold that a next hop can't tell from another one: it came without its key, or with another.
#[test]
fn a_keyed_job_keeps_its_key_byte_for_byte_on_each_attempt() {
    play(
        &["w1", "w2"],
        r"c send raw POST /hold/k7?x=%20 HTTP/1.1\r\nX-Txn: h1\r\nX-Remaining-Ms: 5000\r\nIdempotency-Key: aB~9/+=\t.\r\nContent-Length: 2\r\n\r\nab
          w1 wait a
          a expect POST /hold/k7?x=%20 x-txn:\x20h1 idempotency-key:\x20aB~9/+=\x09.
          a close
          w2 wait b
          b expect POST /hold/k7?x=%20 x-txn:\x20h1 idempotency-key:\x20aB~9/+=\x09.
          b send done 7
          c expect 200 7
          # A class that needs none passes on what its client sent, and nothing where it sent none.
          c send raw POST /lookup/k HTTP/1.1\r\nX-Txn: l1\r\nX-Remaining-Ms: 5000\r\nidempotency-key: KEY\r\nContent-Length: 0\r\n\r\n
          b expect POST /lookup/k x-txn:\x20l1 idempotency-key:\x20KEY
          b send done 8
          c expect 200 8
          c send raw POST /lookup/k HTTP/1.1\r\nX-Txn: l2\r\nX-Remaining-Ms: 5000\r\nContent-Length: 0\r\n\r\n
          b expect POST /lookup/k x-txn:\x20l2 !idempotency
          b send done 9
          c expect 200 9",
    );
}

#[test]
fn a_keyed_job_whose_key_is_missing_doubled_or_not_text_reaches_no_next_hop() {
    let mut script = String::new();
    for (n, lines) in [
        r"",
        r"Idempotency-Key:\r\n",
        r"Idempotency-Key: a\r\nIdempotency-Key: a\r\n",
        "Idempotency-Key: \u{e9}\\r\\n",
    ]
    .into_iter()
    .enumerate()
    {
        script += &format!(
            "c{n} send raw POST /hold/k HTTP/1.1\\r\\nX-Txn: t{n}\\r\\nX-Remaining-Ms: 5000\\r\\n{lines}Content-Length: 0\\r\\n\\r\\n
             c{n} expect 400
             c{n} expect end\n"
        );
    }
    script += "d send POST /lookup/k t9 5000 x
               w1 wait a
               a expect POST /lookup/k t9
               a send done 1
               d expect 200 1";
    play(&["w1"], &script);
}
