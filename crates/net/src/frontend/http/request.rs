//! Parses an HTTP request into a [`ClientRequest`].
//!
//! The head is validated before the body is read, so that a client learns of an error early. After
//! an error the connection is closed, because the bytes after an invalid request could be taken for
//! another request.

use super::HttpFrontend;
use crate::body::{CollectError, collect};
use crate::frontend::admission::{ClientConnection, FramingError, RETRY_AFTER_SECONDS};
use axum::extract::Request;
use axum::http::{HeaderMap, Method, StatusCode, Uri, header};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use hyper::body::Body as _;
use pumiceway_core::{ClientRequest, IdOrigin, Job, JobFunction};
use pumiceway_decisions::api::{ClassId, TenantId};
use pumiceway_decisions::settings::{DeploymentSettings, RepeatSemantics};
use pumiceway_memory::{AccountedBuffer, Holder, MemoryAccount, Revoked};
use std::future::poll_fn;
use std::sync::Arc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::time::timeout_at;

/// Size limit of the body of a request.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// How long before the request timeout an incomplete body gets an error response.
const BODY_TIMEOUT_MARGIN: Duration = Duration::from_millis(200);
/// Longer remaining times are reduced to this limit.
const MAX_REMAINING_MS: u64 = 24 * 60 * 60 * 1_000;
/// What an open request takes beside its texts and its body.
const REQUEST_BYTES: usize = 4 << 10;
/// Length limit of the id of a request.
const MAX_ID_BYTES: usize = 64;
/// Upper limit of the value of a label.
const MAX_LABEL_VALUE: f64 = 1e6;

const CLASS_HEADER: &str = "x-lane";
const ID_HEADER: &str = "x-txn";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const REMAINING_TIME_HEADER: &str = "x-remaining-ms";
const TENANT_HEADER: &str = "x-org";
const LABELS_HEADER: &str = "x-labels";

/// Why a request is not submitted to the core. The message is the body of the response.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RequestError {
    /// No route matches the path.
    #[error("no such path")]
    UnknownPath,
    /// The request can be interpreted in more than one way.
    #[error(transparent)]
    Framing(#[from] FramingError),
    /// The method is not `POST`.
    #[error("jobs come by POST")]
    MethodNotAllowed,
    /// The settings do not define the class.
    #[error("unknown class")]
    UnknownClass,
    /// The header names a different class than the path.
    #[error("X-Lane and path name two classes")]
    ContradictoryClass,
    /// The id is missing or malformed.
    #[error("X-Txn")]
    InvalidId,
    /// The class requires an idempotency key, and the header is missing or empty.
    #[error("Idempotency-Key")]
    MissingIdempotencyKey,
    /// The remaining time is missing or malformed.
    #[error("X-Remaining-Ms")]
    InvalidRemainingTime,
    /// The settings do not define the tenant.
    #[error("unknown tenant")]
    UnknownTenant,
    /// A label is malformed, or its value is out of range.
    #[error("X-Labels")]
    InvalidLabels,
    /// A header that must be unique occurs more than once.
    #[error("a header comes twice")]
    RepeatedHeader,
    /// The value of a header is not printable ASCII.
    #[error("a header is not text")]
    UnreadableHeader,
    /// The body exceeds [`MAX_BODY_BYTES`].
    #[error("a body holds 64 KiB at most")]
    BodyTooLarge,
    /// The body was not received in time.
    #[error("the body took too long")]
    BodyTimeout,
    /// Reading the body failed.
    #[error("the body can't be read")]
    UnreadableBody(StatusCode),
    /// Memory is short. A retry is harmless.
    #[error("not enough memory")]
    MemoryShort,
    /// Bytes after the body were received.
    #[error("more came than Content-Length says")]
    ExcessBytes,
}

impl RequestError {
    fn status(self) -> StatusCode {
        match self {
            RequestError::UnknownPath => StatusCode::NOT_FOUND,
            RequestError::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RequestError::UnreadableBody(status) => status,
            RequestError::MemoryShort => StatusCode::SERVICE_UNAVAILABLE,
            RequestError::Framing(_)
            | RequestError::UnknownClass
            | RequestError::ContradictoryClass
            | RequestError::InvalidId
            | RequestError::MissingIdempotencyKey
            | RequestError::InvalidRemainingTime
            | RequestError::UnknownTenant
            | RequestError::InvalidLabels
            | RequestError::RepeatedHeader
            | RequestError::UnreadableHeader
            | RequestError::ExcessBytes => StatusCode::BAD_REQUEST,
        }
    }
}

impl From<CollectError> for RequestError {
    fn from(error: CollectError) -> RequestError {
        match error {
            CollectError::TooLong => RequestError::UnreadableBody(StatusCode::PAYLOAD_TOO_LARGE),
            CollectError::Unreadable => RequestError::UnreadableBody(StatusCode::BAD_REQUEST),
            CollectError::MemoryShort => RequestError::MemoryShort,
        }
    }
}

impl From<Revoked> for RequestError {
    fn from(_: Revoked) -> RequestError {
        RequestError::MemoryShort
    }
}

impl IntoResponse for RequestError {
    fn into_response(self) -> Response {
        let close = (header::CONNECTION, "close");
        let (status, text) = (self.status(), self.to_string());
        if self == RequestError::MemoryShort {
            let retry_after = (header::RETRY_AFTER, RETRY_AFTER_SECONDS);
            (status, [close, retry_after], text).into_response()
        } else {
            (status, [close], text).into_response()
        }
    }
}

/// Reads and parses a request.
///
/// # Errors
///
/// Returns an error if the request is invalid or was not received in time.
pub(super) async fn read_request(
    frontend: &HttpFrontend,
    connection: &ClientConnection,
    request: Request,
) -> Result<ClientRequest, RequestError> {
    connection.check_head()?;
    if request.method() != Method::POST {
        return Err(RequestError::MethodNotAllowed);
    }
    let head = RequestHead::parse(&frontend.settings, request.uri(), request.headers())?;
    let mut account = frontend.memory.open(Holder::Request, Instant::now());
    draw(&mut account, REQUEST_BYTES + head.text_bytes()).await?;
    let body = read_body(connection, request, account).await?;
    Ok(head.with_body(body))
}

async fn draw(account: &mut MemoryAccount, bytes: usize) -> Result<(), Revoked> {
    poll_fn(|cx| account.poll_draw(bytes, Instant::now(), cx)).await
}

/// The parsed request line and headers.
struct RequestHead {
    class: ClassId,
    path: String,
    id: String,
    idempotency_key: Option<String>,
    remaining: Duration,
    tenant: Option<TenantId>,
    labels: Labels,
}

impl RequestHead {
    fn parse(
        settings: &DeploymentSettings,
        uri: &Uri,
        headers: &HeaderMap,
    ) -> Result<RequestHead, RequestError> {
        let class = parse_class(settings, uri, headers)?;
        Ok(RequestHead {
            class,
            path: path_and_query(uri).to_owned(),
            id: parse_id(headers)?,
            idempotency_key: parse_idempotency_key(settings, class, headers)?,
            remaining: parse_remaining(headers)?,
            tenant: parse_tenant(settings, headers)?,
            labels: Labels::parse(headers)?,
        })
    }

    /// Length of the texts that are kept with the job.
    fn text_bytes(&self) -> usize {
        let key = self.idempotency_key.as_ref();
        self.path.len() + self.id.len() + key.map_or(0, String::len)
    }

    fn with_body(self, body: Bytes) -> ClientRequest {
        ClientRequest {
            function: JobFunction::default_of(self.class),
            remaining: self.remaining,
            slots: self.labels.slots,
            memory: self.labels.memory,
            tenant: self.tenant,
            id_origin: IdOrigin::Client,
            job: Arc::new(Job {
                id: self.id,
                unique_id: None,
                path: self.path,
                idempotency_key: self.idempotency_key,
                body,
            }),
        }
    }
}

fn path_and_query(uri: &Uri) -> &str {
    uri.path_and_query()
        .map_or(uri.path(), |path_and_query| path_and_query.as_str())
}

/// Parses the class, which is the first segment of the path.
fn parse_class(
    settings: &DeploymentSettings,
    uri: &Uri,
    headers: &HeaderMap,
) -> Result<ClassId, RequestError> {
    let path = uri.path().trim_start_matches('/');
    let name = path.split('/').next().unwrap_or_default();
    let class = settings
        .class_index(name)
        .ok_or(RequestError::UnknownClass)?;
    if single_header(headers, CLASS_HEADER)?.is_some_and(|header| header != name) {
        return Err(RequestError::ContradictoryClass);
    }
    Ok(ClassId(class))
}

fn parse_id(headers: &HeaderMap) -> Result<String, RequestError> {
    single_header(headers, ID_HEADER)?
        .filter(|id| is_valid_id(id))
        .map(str::to_owned)
        .ok_or(RequestError::InvalidId)
}

fn is_valid_id(id: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(is_allowed)
}

fn parse_idempotency_key(
    settings: &DeploymentSettings,
    class: ClassId,
    headers: &HeaderMap,
) -> Result<Option<String>, RequestError> {
    let key = single_header(headers, IDEMPOTENCY_KEY_HEADER)?;
    let needs_key = matches!(settings.classes[class.0].repeats, RepeatSemantics::Keyed);
    if needs_key && key.is_none_or(str::is_empty) {
        return Err(RequestError::MissingIdempotencyKey);
    }
    Ok(key.map(str::to_owned))
}

fn parse_remaining(headers: &HeaderMap) -> Result<Duration, RequestError> {
    let text =
        single_header(headers, REMAINING_TIME_HEADER)?.ok_or(RequestError::InvalidRemainingTime)?;
    // `parse` would also accept a sign.
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(RequestError::InvalidRemainingTime);
    }
    // Parsing digits fails only if the number is too large.
    let milliseconds = text.parse().unwrap_or(MAX_REMAINING_MS);
    Ok(Duration::from_millis(milliseconds.min(MAX_REMAINING_MS)))
}

/// Parses the tenant. The header is ignored if the settings define no tenants.
fn parse_tenant(
    settings: &DeploymentSettings,
    headers: &HeaderMap,
) -> Result<Option<TenantId>, RequestError> {
    if settings.tenants.is_empty() {
        return Ok(None);
    }
    let Some(name) = single_header(headers, TENANT_HEADER)? else {
        return Ok(None);
    };
    // An unknown name is an error: jobs without a tenant would yield to those of all tenants, which
    // a client with a mistyped name does not expect.
    let tenant = settings
        .tenant_id(name)
        .ok_or(RequestError::UnknownTenant)?;
    Ok(Some(tenant))
}

/// The resources that a job needs at an endpoint.
struct Labels {
    slots: f64,
    memory: f64,
}

impl Labels {
    /// Parses comma-separated `name=value` pairs. Unknown names are ignored.
    fn parse(headers: &HeaderMap) -> Result<Labels, RequestError> {
        let mut labels = Labels {
            slots: 1.0,
            memory: 0.0,
        };
        let text = single_header(headers, LABELS_HEADER)?.unwrap_or_default();
        for label in text.split(',').filter(|label| !label.trim().is_empty()) {
            let (name, value) = parse_label(label)?;
            match name {
                "slots" => labels.slots = check_label_value(value)?,
                "memory" => labels.memory = check_label_value(value)?,
                _ => {}
            }
        }
        Ok(labels)
    }
}

fn parse_label(label: &str) -> Result<(&str, f64), RequestError> {
    let (name, value) = label.split_once('=').ok_or(RequestError::InvalidLabels)?;
    let value = value
        .trim()
        .parse()
        .map_err(|_| RequestError::InvalidLabels)?;
    Ok((name.trim(), value))
}

fn check_label_value(value: f64) -> Result<f64, RequestError> {
    if (0.0..=MAX_LABEL_VALUE).contains(&value) {
        Ok(value)
    } else {
        Err(RequestError::InvalidLabels)
    }
}

/// Reads the body. A body whose declared length exceeds the limit is rejected without reading it.
/// The bytes carry the account of the request for as long as its job is kept.
async fn read_body(
    connection: &ClientConnection,
    request: Request,
    account: MemoryAccount,
) -> Result<Bytes, RequestError> {
    let body_bytes = request.body().size_hint().exact();
    if body_bytes.is_some_and(|bytes| bytes > MAX_BODY_BYTES as u64) {
        return Err(RequestError::BodyTooLarge);
    }
    let deadline = connection.request_deadline() - BODY_TIMEOUT_MARGIN;
    let mut body = AccountedBuffer::new(account);
    let collected = collect(request.into_body(), MAX_BODY_BYTES, &mut body);
    timeout_at(deadline, collected)
        .await
        .map_err(|_| RequestError::BodyTimeout)??;
    if connection.has_excess(body_bytes) {
        return Err(RequestError::ExcessBytes);
    }
    Ok(body.into_bytes(Instant::now())?)
}

/// Returns the value of a header that must be unique. If it were repeated, an endpoint might use
/// another of the values than the dispatcher.
fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(RequestError::RepeatedHeader);
    }
    let text = value.to_str().map_err(|_| RequestError::UnreadableHeader)?;
    Ok(Some(text.trim()))
}
