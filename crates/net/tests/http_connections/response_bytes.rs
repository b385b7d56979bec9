//! The exact bytes of responses, except for their date, and the exact times of timeout responses.

use crate::sockets::{
    CHUNKED_REQUEST, MILLISECOND, READINESS_REQUEST, assert_nothing_received, connect, read_to_end,
    request, wait_for_bytes, wait_until_all_is_read,
};
use crate::test_frontend::{RESPOND_WITHIN, SubmittedRequest, TestFrontend};
use pumiceway_core::{ClientResponse, Failure, Rejection};
use pumiceway_net::frontend::admission::REQUEST_TIMEOUT;
use pumiceway_test_support::SETTINGS;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// Time after which an incomplete body gets an error response.
const BODY_TIMEOUT: Duration = Duration::from_millis(1_800);
/// The headers that every request needs.
const REQUIRED: &str = "X-Txn: t1\r\nX-Remaining-Ms: 5000\r\n";

/// A frontend whose settings have a tenant, and a class that requires an idempotency key.
fn frontend_with_tenant() -> TestFrontend {
    let tenant = r#""rules":{},"tenants":[{"name":"acme","quota-per-s":9}]"#;
    let settings = SETTINGS.replacen(r#""rules":{}"#, tenant, 1).replacen(
        "non_idempotent",
        "idempotency_key",
        1,
    );
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    TestFrontend::start_with(&settings, listener, 64, 8, |_, _| {})
}

fn post(path: &str, headers: &str) -> String {
    format!("POST {path} HTTP/1.1\r\n{headers}Content-Length: 0\r\n\r\n")
}

fn post_with_body(headers: &str, body: &str) -> String {
    format!("POST /rate-push/k HTTP/1.1\r\n{REQUIRED}{headers}\r\n{body}")
}

/// Reads to the end of the stream and removes the `date` header.
fn read_without_date(stream: &TcpStream) -> String {
    let text = read_to_end(stream);
    text.split_inclusive("\r\n")
        .filter(|line| !line.starts_with("date: "))
        .collect()
}

/// Sends a request that is not submitted to the core. Returns the response.
fn response_to(frontend: &TestFrontend, request: &[u8]) -> String {
    let mut stream = connect(frontend.address);
    stream.write_all(request).unwrap();
    read_without_date(&stream)
}

/// An error response with a text, after which the connection is closed.
fn error_response(status: &str, text: &str) -> String {
    let length = text.len();
    format!(
        "HTTP/1.1 {status}\r\ncontent-type: text/plain; charset=utf-8\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{text}"
    )
}

#[test]
fn each_invalid_request_gets_its_error_response() {
    let mut frontend = frontend_with_tenant();
    let with = |headers: &str| post("/rate-push/k", &format!("{REQUIRED}{headers}"));
    let large_chunk = format!("10001\r\n{}\r\n0\r\n\r\n", "x".repeat(0x10001));
    let bad_request = [
        (post("/unknown/k", REQUIRED), "unknown class"),
        (
            with("X-Lane: booking-import\r\n"),
            "X-Lane and path name two classes",
        ),
        (post("/rate-push/k", "X-Remaining-Ms: 5000\r\n"), "X-Txn"),
        (with("X-Txn: t1\r\n"), "a header comes twice"),
        (with("X-Lane: \u{e9}\r\n"), "a header is not text"),
        (post("/booking-import/k", REQUIRED), "Idempotency-Key"),
        (post("/rate-push/k", "X-Txn: t1\r\n"), "X-Remaining-Ms"),
        (
            post("/rate-push/k", "X-Txn: t1\r\nX-Remaining-Ms: +5\r\n"),
            "X-Remaining-Ms",
        ),
        (with("X-Org: other\r\n"), "unknown tenant"),
        (with("X-Labels: slots=-1\r\n"), "X-Labels"),
        (with("X-Labels: depth\r\n"), "X-Labels"),
        (
            post_with_body("Content-Length: 1\r\n", "xx"),
            "more came than Content-Length says",
        ),
        (
            post_with_body("Transfer-Encoding: chunked\r\n", "x"),
            "the body can't be read",
        ),
        (post("/rate-push/k#f", REQUIRED), "bytes in the path"),
        (with("Content-Length: 0\r\n"), "Content-Length twice"),
        (
            with("Transfer-Encoding: chunked\r\n"),
            "Content-Length beside Transfer-Encoding",
        ),
    ];
    let other = [
        (post("/-/other", ""), "404 Not Found", "no such path"),
        (
            "GET / HTTP/1.1\r\n\r\n".to_owned(),
            "404 Not Found",
            "no such path",
        ),
        (
            "GET /rate-push/k HTTP/1.1\r\n\r\n".to_owned(),
            "405 Method Not Allowed",
            "jobs come by POST",
        ),
        (
            post_with_body("Content-Length: 65537\r\n", ""),
            "413 Payload Too Large",
            "a body holds 64 KiB at most",
        ),
        (
            post_with_body("Transfer-Encoding: chunked\r\n", &large_chunk),
            "413 Payload Too Large",
            "the body can't be read",
        ),
    ];
    for (request, text) in bad_request {
        let expected = error_response("400 Bad Request", text);
        assert_eq!(response_to(&frontend, request.as_bytes()), expected);
    }
    for (request, status, text) in other {
        let expected = error_response(status, text);
        assert_eq!(response_to(&frontend, request.as_bytes()), expected);
    }
    frontend.expect_no_message();
}

// Guards against issue 49: the parser ends a connection on the preface of HTTP/2 without a response.
#[test]
fn a_request_that_the_parser_cannot_read_gets_one_error_response() {
    let long_head = format!("GET /-/ready HTTP/1.1\r\na: {}", "x".repeat(20 << 10));
    for (request, expected) in [
        ("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "HTTP/1.1 400 "),
        ("POST\r\n\r\n", "HTTP/1.1 400 "),
        ("POST / HTTP/1.1\r\n: \r\n\r\n", "HTTP/1.1 400 "),
        (&long_head, "HTTP/1.1 431 "),
    ] {
        for is_kept in [true, false] {
            let mut frontend = TestFrontend::start(4, 1);
            let mut stream = frontend.connect_as(is_kept);
            stream.write_all(request.as_bytes()).unwrap();
            let text = read_to_end(&stream);
            assert!(text.starts_with(expected), "{request:.40?}: {text:?}");
            assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text:?}");
            drop(stream);
            frontend.shut_down();
            frontend.expect_no_message();
        }
    }
}

/// Submits a request on a new connection, which is closed after the response.
fn submit(frontend: &mut TestFrontend, headers: &str) -> (TcpStream, SubmittedRequest) {
    let mut stream = frontend.connect();
    let request = post(
        "/rate-push/k?q=1",
        &format!("{headers}Connection: close\r\n"),
    );
    stream.write_all(request.as_bytes()).unwrap();
    (stream, frontend.next_request())
}

#[test]
fn a_request_is_submitted_with_the_values_of_its_head() {
    let mut frontend = frontend_with_tenant();
    let day = Duration::from_secs(24 * 60 * 60);
    for (remaining_ms, remaining) in [
        ("0", Duration::ZERO),
        ("5000", Duration::from_secs(5)),
        ("99999999999999999999999999", day),
    ] {
        let headers = format!(
            "X-Txn: t1\r\nX-Remaining-Ms: {remaining_ms}\r\nX-Org: acme\r\nIdempotency-Key: k\r\nX-Labels: slots=2,, memory = 0.5 ,depth=3\r\n"
        );
        let (stream, submitted) = submit(&mut frontend, &headers);
        let request = &submitted.request;
        assert_eq!(request.remaining, remaining);
        assert_eq!((request.slots, request.memory), (2.0, 0.5));
        assert_eq!(request.tenant.map(|tenant| tenant.0), Some(0));
        assert_eq!(request.function.class.0, 0);
        assert_eq!(request.job.id, "t1");
        assert_eq!(request.job.path, "/rate-push/k?q=1");
        assert_eq!(request.job.idempotency_key.as_deref(), Some("k"));
        let served = ClientResponse::Served("1".into());
        submitted.response.send(served).unwrap();
        read_to_end(&stream);
        frontend.expect_no_message();
    }
}

#[test]
fn each_response_of_the_core_is_mapped_to_http() {
    let mut frontend = frontend_with_tenant();
    let retry_after = Some(Duration::from_micros(1_234_567));
    for (response, expected) in [
        (
            ClientResponse::Served("1".into()),
            "HTTP/1.1 200 OK\r\ncontent-length: 1\r\nconnection: close\r\n\r\n1".to_owned(),
        ),
        (
            ClientResponse::Overloaded { retry_after: None },
            "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
                .to_owned(),
        ),
        (
            ClientResponse::Overloaded { retry_after },
            "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1.235\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
                .to_owned(),
        ),
        (
            ClientResponse::Rejected(Rejection::IdInUse),
            error_response("409 Conflict", &Rejection::IdInUse.to_string()),
        ),
        (
            ClientResponse::Rejected(Rejection::InvalidJob),
            error_response("422 Unprocessable Entity", &Rejection::InvalidJob.to_string()),
        ),
    ] {
        let (stream, submitted) = submit(&mut frontend, REQUIRED);
        submitted.response.send(response).unwrap();
        assert_eq!(read_without_date(&stream), expected);
    }
    let (stream, submitted) = submit(&mut frontend, REQUIRED);
    let failed = ClientResponse::Failed(Failure::DispatcherEnded);
    submitted.response.send(failed).unwrap();
    let text = Failure::DispatcherEnded.to_string();
    let length = text.len();
    assert_eq!(
        read_without_date(&stream),
        format!(
            "HTTP/1.1 502 Bad Gateway\r\ncontent-type: text/plain; charset=utf-8\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{text}"
        )
    );
}

#[test]
fn a_pipelined_request_gets_an_error_after_the_response_to_the_first() {
    let mut frontend = TestFrontend::start(4, 1);
    let mut stream = frontend.connect();
    let pipelined = format!("{CHUNKED_REQUEST}{}", request("t2", "x"));
    stream.write_all(pipelined.as_bytes()).unwrap();
    frontend.next_request().serve("1");
    let first = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n1";
    let second = error_response(
        "400 Bad Request",
        "a request before the answer to the last one",
    );
    assert_eq!(read_without_date(&stream), format!("{first}{second}"));
    frontend.expect_no_message();
}

// Guards against issue 49: the part of a request that was read together with the previous request
// was not noticed, so the connection counted as idle and was closed without a response.
#[test]
fn a_part_of_a_pipelined_request_gets_a_final_response_whatever_ends_its_connection() {
    let first = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let ready = std::str::from_utf8(READINESS_REQUEST).unwrap();
    let chunked = CHUNKED_REQUEST.replacen("POST /rate-push/k", "GET /-/ready", 1);
    let with_trailer = chunked.replace("\r\n0\r\n", "\r\n0\r\na: b\r\n");
    for previous in [ready, &chunked, &with_trailer] {
        for end in [
            PipelinedEnd::Completed,
            PipelinedEnd::TimedOut,
            PipelinedEnd::ShutDown,
        ] {
            let frontend = TestFrontend::start(4, 1);
            let mut stream = frontend.connect();
            let second = request("t2", "x");
            let (part, rest) = second.split_at(40);
            stream
                .write_all(format!("{previous}{part}").as_bytes())
                .unwrap();
            wait_for_bytes(&stream);
            let expected = match end {
                PipelinedEnd::Completed => {
                    stream.write_all(rest.as_bytes()).unwrap();
                    "HTTP/1.1 400 "
                }
                PipelinedEnd::TimedOut => {
                    frontend.advance_clock(REQUEST_TIMEOUT);
                    "HTTP/1.1 408 "
                }
                PipelinedEnd::ShutDown => {
                    frontend.close();
                    frontend.advance_clock(RESPOND_WITHIN);
                    "HTTP/1.1 503 "
                }
            };
            let text = read_without_date(&stream);
            let case = format!("{previous:?} {end:?}: {text:?}");
            let response = text.strip_prefix(first).expect(&case);
            assert!(response.starts_with(expected), "{case}");
        }
    }
}

/// What ends the connection of a pipelined request.
#[derive(Clone, Copy, Debug)]
enum PipelinedEnd {
    Completed,
    TimedOut,
    ShutDown,
}

#[test]
fn a_partial_request_is_answered_at_its_timeout_and_not_before() {
    let frontend = TestFrontend::start(4, 1);
    let body = error_response("408 Request Timeout", "the body took too long");
    let head = "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 25\r\n\r\nthe request took too long";
    for (partial_request, timeout, expected) in [
        (
            post_with_body("Content-Length: 2\r\n", "x"),
            BODY_TIMEOUT,
            body.as_str(),
        ),
        ("P".to_owned(), REQUEST_TIMEOUT, head),
    ] {
        let mut stream = frontend.connect();
        stream.write_all(partial_request.as_bytes()).unwrap();
        wait_until_all_is_read(&stream);
        frontend.advance_clock(timeout.checked_sub(MILLISECOND).unwrap());
        frontend.advance_clock(Duration::ZERO);
        assert_nothing_received(&stream);
        frontend.advance_clock(MILLISECOND);
        wait_for_bytes(&stream);
        assert_eq!(read_without_date(&stream), expected);
    }
}

#[test]
fn a_connection_over_the_limit_gets_an_overload_response() {
    let only_spare = TestFrontend::start(0, 1);
    assert_eq!(
        response_to(&only_spare, post("/rate-push/k", REQUIRED).as_bytes()),
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: text/plain; charset=utf-8\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 20\r\n\r\ntoo many connections"
    );
    let none = TestFrontend::start(0, 0);
    assert_eq!(
        read_without_date(&none.connect()),
        "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
}
