//! The HTTP front: the platform's protocol, thin, on axum.

use super::Gate;
use crate::api::{ClassId, Micros};
use crate::config::Sockets;
use crate::core::{Answer, Job, Transaction};
use crate::log;
use crate::settings::Conf;
use axum::Router;
use axum::body::Body;
use axum::extract::{DefaultBodyLimit, FromRequest, Request, State};
use axum::http::{HeaderMap, Method, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get};
use bytes::Bytes;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A body holds at most this much.
pub const BODY_MOST: usize = 64 << 10;
/// A body is there within this time after its head, and a head within this time.
const BODY_PATIENCE: Duration = Duration::from_secs(30);
const HEAD_PATIENCE: Duration = Duration::from_secs(60);
/// Longer waits are cut to this.
const LEFT_MOST_MS: u64 = 24 * 60 * 60 * 1_000;
/// Advice to come back where too many connections are open, in seconds.
const COME_BACK: &str = "1";

/// What the front needs.
#[derive(Clone)]
pub struct Front {
    /// The way into the core.
    pub gate: Gate,
    /// The classes.
    pub conf: Arc<Conf>,
    /// Requests can be served.
    pub ready: Arc<AtomicBool>,
}

/// Why a request is turned down before it is a transaction.
struct Bad(StatusCode, &'static str);

impl IntoResponse for Bad {
    fn into_response(self) -> Response {
        (self.0, self.1).into_response()
    }
}

/// Set once the fronts are to close.
pub type Closing = watch::Receiver<bool>;

impl Front {
    fn router(self) -> Router {
        Router::new()
            .route("/-/ready", get(ready))
            .route("/-/{*rest}", any(nowhere))
            .route("/{class}", any(submit))
            .route("/{class}/{*key}", any(submit))
            .fallback(nowhere)
            .layer(DefaultBodyLimit::max(BODY_MOST))
            .with_state(self)
    }

    /// Serves clients until told to close, and then until the last of them has left.
    pub async fn serve(self, listener: TcpListener, sockets: Sockets, mut closing: Closing) {
        let router = self.router();
        let open = Arc::new(AtomicUsize::new(0));
        let (gone, mut all_gone) = tokio::sync::mpsc::channel::<()>(1);
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(e) => {
                        // Prevents: out of descriptors, the loop spins.
                        log!("accept: {e}");
                        tokio::time::sleep(Duration::from_millis(20)).await;
                        continue;
                    }
                },
                () = closed(&mut closing) => break,
            };
            let count = open.fetch_add(1, Ordering::Relaxed);
            let (closing, open, gone) = (closing.clone(), open.clone(), gone.clone());
            let router = match count < sockets.inbound {
                true => router.clone(),
                // Prevents: clients beyond what can be served take the sockets of those within.
                false if count < sockets.inbound + sockets.spare => {
                    log!("{count} connections of clients: a further one gets a busy answer");
                    Router::new().fallback(too_many)
                }
                false => {
                    open.fetch_sub(1, Ordering::Relaxed);
                    continue;
                }
            };
            tokio::spawn(async move {
                serve_connection(stream, router, closing).await;
                open.fetch_sub(1, Ordering::Relaxed);
                drop(gone);
            });
        }
        drop((listener, gone));
        let _ = all_gone.recv().await;
    }
}

/// Waits until the fronts are to close.
pub async fn closed(closing: &mut Closing) {
    let _ = closing.wait_for(|c| *c).await;
}

async fn serve_connection(stream: TcpStream, router: Router, mut closing: Closing) {
    let _ = stream.set_nodelay(true);
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_PATIENCE)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router));
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = closed(&mut closing) => connection.as_mut().graceful_shutdown(),
    }
    // An error here is a client that broke off, or that doesn't speak HTTP: hyper has answered it.
    let _ = connection.await;
}

async fn ready(State(front): State<Front>) -> StatusCode {
    match front.ready.load(Ordering::Relaxed) {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn nowhere() -> Bad {
    Bad(StatusCode::NOT_FOUND, "no such path")
}

async fn too_many() -> impl IntoResponse {
    let headers = [(header::RETRY_AFTER, COME_BACK), (header::CONNECTION, "close")];
    (StatusCode::SERVICE_UNAVAILABLE, headers, "too many connections")
}

async fn submit(State(front): State<Front>, request: Request) -> Result<Response, Bad> {
    let transaction = read(&front.conf, request).await?;
    Ok(respond(front.gate.submit(transaction, None).answer().await))
}

/// A transaction from a request.
async fn read(conf: &Conf, request: Request) -> Result<Transaction, Bad> {
    let malformed = |what| Bad(StatusCode::BAD_REQUEST, what);
    if request.method() != Method::POST {
        return Err(Bad(StatusCode::METHOD_NOT_ALLOWED, "jobs come by POST"));
    }
    let uri = request.uri();
    let path = uri.path_and_query().map_or(uri.path(), |p| p.as_str()).to_owned();
    let name = uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
    let class = conf.class(name).ok_or(malformed("unknown class"))?;
    let headers = request.headers();
    if header(headers, "x-lane")?.is_some_and(|lane| lane != name) {
        return Err(malformed("X-Lane and path name two classes"));
    }
    let id = header(headers, "x-txn")?.filter(|id| well_formed(id)).ok_or(malformed("X-Txn"))?.to_owned();
    let left = header(headers, "x-remaining-ms")?.ok_or(malformed("X-Remaining-Ms"))?;
    if left.is_empty() || !left.bytes().all(|b| b.is_ascii_digit()) {
        return Err(malformed("X-Remaining-Ms"));
    }
    let left = left.parse().unwrap_or(LEFT_MOST_MS).min(LEFT_MOST_MS) as Micros * 1_000;
    let (mut slots, mut memory) = (1.0, 0.0);
    for label in header(headers, "x-labels")?.unwrap_or_default().split(',').filter(|l| !l.trim().is_empty())
    {
        let (name, value) = label.split_once('=').ok_or(malformed("X-Labels"))?;
        let value: f64 = value.trim().parse().map_err(|_| malformed("X-Labels"))?;
        match name.trim() {
            "slots" | "memory" if !(0.0..=1e6).contains(&value) => return Err(malformed("X-Labels")),
            "slots" => slots = value,
            "memory" => memory = value,
            _ => {}
        }
    }
    // Prevents: a body that is too large is waited for before it is turned down.
    let length = header(headers, "content-length")?.and_then(|l| l.parse::<usize>().ok());
    if length.is_some_and(|l| l > BODY_MOST) {
        return Err(Bad(StatusCode::PAYLOAD_TOO_LARGE, "a body holds 64 KiB at most"));
    }
    let body = tokio::time::timeout(BODY_PATIENCE, Bytes::from_request(request, &())).await;
    let body = body.map_err(|_| Bad(StatusCode::REQUEST_TIMEOUT, "the body took too long"))?;
    let body = body.map_err(|e| Bad(e.status(), "the body can't be read"))?;
    let job = Arc::new(Job { id, path, body });
    Ok(Transaction { class: ClassId(class), left, slots, memory, job, identity: None })
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Bad> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value.to_str().map(|v| Some(v.trim())).map_err(|_| Bad(StatusCode::BAD_REQUEST, "a header is not text"))
}

fn well_formed(id: &str) -> bool {
    (1..=64).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

fn respond(answer: Answer) -> Response {
    match answer {
        Answer::Served(result) => Response::new(Body::from(result)),
        Answer::Busy { retry_after: None } => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Answer::Busy { retry_after: Some(after) } => {
            let seconds = format!("{:.3}", after as f64 / 1e6);
            (StatusCode::SERVICE_UNAVAILABLE, [(header::RETRY_AFTER, seconds)]).into_response()
        }
        Answer::Failed(why) => (StatusCode::BAD_GATEWAY, why).into_response(),
    }
}
