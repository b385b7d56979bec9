//! The HTTP client of one endpoint, and the attempts that it sends.
//!
//! An attempt is a future that the caller drives; its observer gets each update and, unless the
//! future is dropped or the attempt aborted first, one outcome.

use super::attempt::AttemptConnection;
use super::connector::Connector;
use super::failure;
use super::headers;
use super::load_report;
use super::pool_settings::PoolSettings;
use super::request_body::RequestBody;
use super::response::{self, AttemptEnd};
use hyper::body::Incoming;
use hyper::http::HeaderValue;
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::{self, Client};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use pumiceway_core::{AttemptOutcome, AttemptUpdate, Job};
use pumiceway_decisions::api::LoadReport;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tracing::warn;

/// An attempt may take this long to be written, on top of the time for its connection: the margin
/// of a coarse timer.
pub(super) const WRITE_MARGIN: Duration = Duration::from_millis(25);

/// The hyper client that opens, pools and closes the connections.
pub(super) type HttpClient = Client<Connector, RequestBody>;

/// The terms of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOptions {
    /// How long the response will be waited for; the endpoint learns it.
    pub remaining: Duration,
    /// Whether a new connection is opened for it, and closed after it.
    pub dedicated_connection: bool,
    /// No byte of it is written after this time.
    pub write_by: Option<Instant>,
}

/// Where the updates of an attempt go, and its outcome.
pub trait AttemptObserver: Send + 'static {
    /// An update while the attempt is in flight.
    fn updated(&self, update: AttemptUpdate);
    /// The attempt has ended; called once at most.
    fn ended(&mut self, outcome: AttemptOutcome, report: Option<LoadReport>);
}

/// The client of one endpoint. Dropping it closes its idle connections.
#[derive(Clone)]
pub struct UpstreamClient {
    pub(super) pooled: HttpClient,
    /// Opens a connection for each request, and pools none.
    pub(super) dedicated: HttpClient,
    pub(super) address: String,
    connect_timeout: Duration,
    pub(super) health_check_timeout: Duration,
}

impl UpstreamClient {
    /// A client for the endpoint at this address; all clients together have the sockets that the
    /// semaphore counts.
    pub fn new(address: &str, pool: PoolSettings, sockets: &Arc<Semaphore>) -> UpstreamClient {
        UpstreamClient {
            pooled: http_client(&pool, pool.max_idle_connections, sockets),
            dedicated: http_client(&pool, 0, sockets),
            address: address.to_owned(),
            connect_timeout: pool.connect_timeout,
            health_check_timeout: pool.health_check_timeout,
        }
    }

    /// The address of the endpoint.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// An attempt, driven by the future; the observer gets one outcome unless the future is
    /// dropped or the attempt aborted first.
    ///
    /// # Errors
    ///
    /// The job cannot be written as an HTTP request.
    pub fn attempt<T: AttemptObserver>(
        &self,
        job: &Job,
        options: AttemptOptions,
        observer: T,
    ) -> Result<(AttemptConnection, impl Future<Output = ()> + Send + use<T>), hyper::http::Error>
    {
        let mut request = self.request(job, options.remaining)?;
        let connection = AttemptConnection::new(&mut request);
        let write_by = self.write_by(options.write_by);
        *request.body_mut() =
            RequestBody::new(job.body.clone(), connection.clone(), Some(write_by));
        let client = if options.dedicated_connection {
            self.dedicated.clone()
        } else {
            self.pooled.clone()
        };
        let attempt = Attempt {
            request_id: job.id.clone(),
            endpoint: self.address.clone(),
            connection: connection.clone(),
            observer,
        };
        Ok((connection, attempt.run(client, request)))
    }

    /// The request of an attempt, without its body.
    fn request(
        &self,
        job: &Job,
        remaining: Duration,
    ) -> Result<Request<RequestBody>, hyper::http::Error> {
        let mut request = Request::post(format!("http://{}{}", self.address, job.path))
            .header(headers::REQUEST_ID, &job.id)
            .header(headers::REMAINING_MS, remaining.as_millis() as u64)
            .body(RequestBody::default())?;
        if let Some(key) = &job.idempotency_key {
            request
                .headers_mut()
                .insert(headers::IDEMPOTENCY_KEY, HeaderValue::from_str(key)?);
        }
        Ok(request)
    }

    /// The time by which an attempt that starts now is written or given up: the time for its
    /// connection, or an earlier limit of its own.
    fn write_by(&self, limit: Option<Instant>) -> Instant {
        let latest = Instant::now() + self.connect_timeout + WRITE_MARGIN;
        limit.map_or(latest, |limit| latest.min(limit))
    }
}

fn http_client(
    pool: &PoolSettings,
    max_idle_connections: usize,
    sockets: &Arc<Semaphore>,
) -> HttpClient {
    Client::builder(TokioExecutor::new())
        // hyper would send a request again by itself: an attempt that nobody counts.
        .retry_canceled_requests(false)
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(pool.idle_timeout)
        .pool_max_idle_per_host(max_idle_connections)
        .build(Connector {
            connect_timeout: pool.connect_timeout,
            sockets: sockets.clone(),
        })
}

/// An attempt in flight.
struct Attempt<T> {
    request_id: String,
    endpoint: String,
    connection: AttemptConnection,
    observer: T,
}

impl<T: AttemptObserver> Attempt<T> {
    async fn run(mut self, client: HttpClient, request: Request<RequestBody>) {
        match client.request(request).await {
            Ok(response) => {
                self.connection.begin_response();
                if response.status() == StatusCode::OK {
                    self.read_response(response.into_body()).await;
                } else {
                    self.end_by_status(response).await;
                }
            }
            Err(error) => self.end_without_response(&error),
        }
    }

    async fn read_response(&mut self, mut body: Incoming) {
        match response::read(&mut body, &self.request_id, &mut self.observer).await {
            Ok(end) => {
                self.connection.report_end(&mut self.observer, end);
                response::discard_rest(body, &self.connection).await;
            }
            Err(error) => {
                let outcome = AttemptOutcome::Reset;
                warn!(
                    request_id = self.request_id,
                    endpoint = self.endpoint,
                    outcome = outcome.as_str(),
                    reason = failure::describe(&error),
                    "attempt failed: its response cannot be used"
                );
                self.connection.close();
                self.end(outcome, None);
            }
        }
    }

    /// Ends it by a status other than 200. The body adds nothing, and may never end.
    async fn end_by_status(&mut self, response: Response<Incoming>) {
        let outcome = response::outcome_of_status(&response);
        self.end(outcome, load_report::from_headers(&response));
        response::discard_rest(response.into_body(), &self.connection).await;
    }

    fn end_without_response(&mut self, error: &legacy::Error) {
        let outcome = failure::outcome(error, &self.connection);
        warn!(
            request_id = self.request_id,
            endpoint = self.endpoint,
            outcome = outcome.as_str(),
            reason = failure::describe(error),
            "attempt failed before its response"
        );
        self.end(outcome, None);
    }

    fn end(&mut self, outcome: AttemptOutcome, report: Option<LoadReport>) {
        self.connection
            .report_end(&mut self.observer, AttemptEnd { outcome, report });
    }
}
