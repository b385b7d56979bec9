//! The HTTP front: the platform's protocol, thin, on axum.

use super::EventSender;
use super::admission::{
    self, Admission, COME_BACK, ClientConnection, ConnectionPermit, End, InspectedStream, Room,
};
use crate::config::Sockets;
use axum::Router;
use axum::body::Body;
use axum::extract::{DefaultBodyLimit, Extension, FromRequest, Request, State};
use axum::http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get};
use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use pumiceway_core::{ClientRequest, ClientResponse, Job, Rejection};
use pumiceway_decisions::api::ClassId;
use pumiceway_decisions::settings::{DeploymentSettings, RepeatSemantics};
use std::future::poll_fn;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};
use tower_service::Service as _;
use tracing::{debug, error, warn};

/// A body holds at most this much.
pub const BODY_MOST: usize = 64 << 10;
/// A head holds at most this much.
const HEAD_MOST: usize = 16 << 10;
/// So long before patience with a connection ends, a body that has not come whole is given up with
/// an answer.
const LAST_WORD: Duration = Duration::from_millis(200);
/// The system keeps at most so many connections for us that we have not accepted.
const BACKLOG: usize = 1_024;
/// Longer waits are cut to this.
const LEFT_MOST_MS: u64 = 24 * 60 * 60 * 1_000;

/// What the front needs.
#[derive(Clone)]
pub struct HttpFrontend {
    /// The way into the core.
    pub events: EventSender,
    /// The classes.
    pub settings: Arc<DeploymentSettings>,
    /// Requests can be served.
    pub ready: Arc<AtomicBool>,
}

/// Why a request is turned down before it is a transaction.
struct Bad(StatusCode, &'static str);

impl IntoResponse for Bad {
    /// Prevents: what comes behind a request that can't be used is taken for another one.
    fn into_response(self) -> Response {
        (self.0, [(header::CONNECTION, "close")], self.1).into_response()
    }
}

/// Set once the fronts are to close.
pub type Closing = watch::Receiver<bool>;

impl HttpFrontend {
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
        let admission = Admission::new(sockets.inbound, sockets.spare);
        let (gone, mut all_gone) = tokio::sync::mpsc::channel::<()>(1);
        let serve = |stream: TcpStream, closing: &Closing| {
            let (place, closing, gone) = (
                admission.admit(Instant::now()),
                closing.clone(),
                gone.clone(),
            );
            let router = match place.room {
                Room::Served => Some(router.clone()),
                // Prevents: clients beyond what can be served take the sockets of those within.
                Room::Busy => {
                    let most = sockets.inbound;
                    warn!(
                        front = "http",
                        most, "too many connections: this one gets a busy answer"
                    );
                    Some(Router::new().fallback(too_many))
                }
                Room::None => {
                    let most = sockets.inbound + sockets.spare;
                    warn!(front = "http", most, "no room: a connection is turned away");
                    None
                }
            };
            tokio::spawn(async move {
                serve_connection(stream, router, place, closing).await;
                drop(gone);
            });
        };
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => serve(stream, &closing),
                    Err(e) => {
                        // Prevents: out of descriptors, the loop spins.
                        error!(front = "http", why = %e, "a connection can't be accepted");
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                },
                () = closed(&mut closing) => break,
            }
        }
        // Prevents: a client whose connection the system has accepted for us, and that may have
        // sent its request on it, is reset with the listener.
        for stream in left_behind(listener) {
            serve(stream, &closing);
        }
        drop(gone);
        let _ = all_gone.recv().await;
    }
}

/// The connections that wait to be accepted, once no more are to come.
fn left_behind(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    let waiting = std::iter::from_fn(|| listener.accept().ok()).take(BACKLOG);
    waiting
        .filter_map(|(stream, _)| {
            stream.set_nonblocking(true).ok()?;
            TcpStream::from_std(stream).ok()
        })
        .collect()
}

/// Waits until the fronts are to close.
pub async fn closed(closing: &mut Closing) {
    let _ = closing.wait_for(|c| *c).await;
}

/// Serves a connection to its end, whatever ends it, and closes it: nothing else does.
async fn serve_connection(
    stream: TcpStream,
    router: Option<Router>,
    place: ConnectionPermit,
    closing: Closing,
) {
    let _ = stream.set_nodelay(true);
    let stream = Arc::new(stream);
    let end = match router {
        Some(router) => serve_requests(&stream, router, &place.seat, closing).await,
        None => End::Wanted,
    };
    debug!(front = "http", reason = ?end, "connection closed");
    admission::close(&stream, &place.seat, place.seat.owed(end)).await;
}

async fn serve_requests(
    stream: &Arc<TcpStream>,
    router: Router,
    seat: &Arc<ClientConnection>,
    mut closing: Closing,
) -> End {
    let service = service_fn(|request: hyper::Request<Incoming>| {
        let mut request = request.map(Body::new);
        request.extensions_mut().insert(seat.clone());
        let (answer, seat) = (router.clone().call(request), seat.clone());
        async move { answer.await.inspect(|_| seat.answers()) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .max_buf_size(HEAD_MOST)
        .serve_connection(
            TokioIo::new(InspectedStream::new(stream.clone(), seat.clone())),
            service,
        );
    let mut connection = std::pin::pin!(connection);
    let mut patience = std::pin::pin!(sleep_until(seat.due()));
    let mut wanted = std::pin::pin!(seat.wanted());
    let mut closed = std::pin::pin!(closed(&mut closing));
    let mut open = true;
    poll_fn(|cx| {
        // An error here is a client that broke off, or that doesn't speak HTTP: hyper has answered
        // it.
        if connection.as_mut().poll(cx).is_ready() {
            return Poll::Ready(End::Over);
        }
        if open && closed.as_mut().poll(cx).is_ready() {
            open = false;
            // Prevents: a new connection is closed without a word, and its request is lost.
            if seat.untouched() {
                return Poll::Ready(End::Stopping);
            }
            connection.as_mut().graceful_shutdown();
            if connection.as_mut().poll(cx).is_ready() {
                return Poll::Ready(End::Over);
            }
        }
        // hyper looks for the end only while it has read nothing that it can't use yet.
        if seat.poll_gone(stream, cx).is_ready() {
            return Poll::Ready(End::Over);
        }
        if wanted.as_mut().poll(cx).is_ready() {
            return Poll::Ready(End::Wanted);
        }
        let due = seat.due();
        if patience.deadline() != due {
            patience.as_mut().reset(due);
        }
        patience.as_mut().poll(cx).map(|()| End::Impatient)
    })
    .await
}

async fn ready(State(front): State<HttpFrontend>) -> StatusCode {
    match front.ready.load(Ordering::Relaxed) {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn nowhere() -> Bad {
    Bad(StatusCode::NOT_FOUND, "no such path")
}

async fn too_many() -> impl IntoResponse {
    let headers = [
        (header::RETRY_AFTER, COME_BACK),
        (header::CONNECTION, "close"),
    ];
    (
        StatusCode::SERVICE_UNAVAILABLE,
        headers,
        "too many connections",
    )
}

async fn submit(
    State(front): State<HttpFrontend>,
    Extension(seat): Extension<Arc<ClientConnection>>,
    request: Request,
) -> Result<Response, Bad> {
    let length = request.body().size_hint().exact();
    let transaction = read(&front.settings, &seat, request).await?;
    seat.holds();
    let mut response = respond(front.events.submit(transaction, None).response().await);
    // Prevents: what came while the request was held is taken for the next one.
    if seat.excess(length) {
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// A transaction from a request.
async fn read(
    settings: &DeploymentSettings,
    seat: &ClientConnection,
    request: Request,
) -> Result<ClientRequest, Bad> {
    let malformed = |what| Bad(StatusCode::BAD_REQUEST, what);
    if let Some(fault) = seat.head_fault() {
        return Err(malformed(fault));
    }
    if request.method() != Method::POST {
        return Err(Bad(StatusCode::METHOD_NOT_ALLOWED, "jobs come by POST"));
    }
    let uri = request.uri();
    let path = uri
        .path_and_query()
        .map_or(uri.path(), |p| p.as_str())
        .to_owned();
    let name = uri
        .path()
        .trim_start_matches('/')
        .split('/')
        .next()
        .unwrap_or_default();
    let class = settings.class(name).ok_or(malformed("unknown class"))?;
    let headers = request.headers();
    if header(headers, "x-lane")?.is_some_and(|lane| lane != name) {
        return Err(malformed("X-Lane and path name two classes"));
    }
    let id = header(headers, "x-txn")?
        .filter(|id| well_formed(id))
        .ok_or(malformed("X-Txn"))?
        .to_owned();
    let idempotency_key = header(headers, "idempotency-key")?.map(str::to_owned);
    // Prevents: a repeat of it runs again wherever it is sent, as nobody can tell it from another
    // job.
    let keyed = matches!(settings.classes[class].repeats, RepeatSemantics::Keyed);
    if keyed && idempotency_key.as_ref().is_none_or(String::is_empty) {
        return Err(malformed("Idempotency-Key"));
    }
    let left = header(headers, "x-remaining-ms")?.ok_or(malformed("X-Remaining-Ms"))?;
    if left.is_empty() || !left.bytes().all(|b| b.is_ascii_digit()) {
        return Err(malformed("X-Remaining-Ms"));
    }
    let left = left.parse().unwrap_or(LEFT_MOST_MS).min(LEFT_MOST_MS);
    let remaining = Duration::from_millis(left);
    // Prevents: work of a name that is mistyped counts for nobody, and gives way to all others
    // unnoticed. Where nobody shares the workers the header means nothing, and is not read.
    let tenant = match settings.tenants.is_empty() {
        true => None,
        false => match header(headers, "x-org")? {
            Some(name) => Some(settings.tenant(name).ok_or(malformed("unknown tenant"))?),
            None => None,
        },
    };
    let (mut slots, mut memory) = (1.0, 0.0);
    for label in header(headers, "x-labels")?
        .unwrap_or_default()
        .split(',')
        .filter(|l| !l.trim().is_empty())
    {
        let (name, value) = label.split_once('=').ok_or(malformed("X-Labels"))?;
        let value: f64 = value.trim().parse().map_err(|_| malformed("X-Labels"))?;
        match name.trim() {
            "slots" | "memory" if !(0.0..=1e6).contains(&value) => {
                return Err(malformed("X-Labels"));
            }
            "slots" => slots = value,
            "memory" => memory = value,
            _ => {}
        }
    }
    // Prevents: a body that is too large is waited for before it is turned down.
    let length = request.body().size_hint().exact();
    if length.is_some_and(|l| l > BODY_MOST as u64) {
        return Err(Bad(
            StatusCode::PAYLOAD_TOO_LARGE,
            "a body holds 64 KiB at most",
        ));
    }
    let body = timeout_at(seat.due() - LAST_WORD, Bytes::from_request(request, &())).await;
    let body = body.map_err(|_| Bad(StatusCode::REQUEST_TIMEOUT, "the body took too long"))?;
    let body = body.map_err(|e| Bad(e.status(), "the body can't be read"))?;
    if seat.excess(length) {
        return Err(malformed("more came than Content-Length says"));
    }
    let job = Arc::new(Job {
        id,
        path,
        idempotency_key,
        body,
    });
    Ok(ClientRequest {
        class: ClassId(class),
        remaining,
        slots,
        memory,
        tenant,
        job,
        unique_id: None,
    })
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Bad> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    // Prevents: one of two that contradict each other is believed, and a next hop believes the
    // other.
    if values.next().is_some() {
        return Err(Bad(StatusCode::BAD_REQUEST, "a header comes twice"));
    }
    value
        .to_str()
        .map(|v| Some(v.trim()))
        .map_err(|_| Bad(StatusCode::BAD_REQUEST, "a header is not text"))
}

fn well_formed(id: &str) -> bool {
    (1..=64).contains(&id.len())
        && id
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

fn respond(answer: ClientResponse) -> Response {
    match answer {
        ClientResponse::Served(result) => Response::new(Body::from(result)),
        ClientResponse::Overloaded { retry_after: None } => {
            StatusCode::SERVICE_UNAVAILABLE.into_response()
        }
        ClientResponse::Overloaded {
            retry_after: Some(after),
        } => {
            let seconds = format!("{:.3}", after.as_micros() as f64 / 1e6);
            (
                StatusCode::SERVICE_UNAVAILABLE,
                [(header::RETRY_AFTER, seconds)],
            )
                .into_response()
        }
        ClientResponse::Rejected(why) => {
            let status = match why {
                Rejection::IdInUse => StatusCode::CONFLICT,
                Rejection::InvalidJob => StatusCode::UNPROCESSABLE_ENTITY,
            };
            (status, [(header::CONNECTION, "close")], why.to_string()).into_response()
        }
        ClientResponse::Failed(why) => (StatusCode::BAD_GATEWAY, why.to_string()).into_response(),
    }
}
