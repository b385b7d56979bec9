//! The HTTP client of one endpoint, which sends attempts to it.
//!
//! An attempt is a future that the caller polls. Its observer is notified of each update and of
//! exactly one outcome, unless the future is dropped or the attempt is aborted first.

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
use pumiceway_memory::{Holder, MemoryBudget};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tracing::warn;

/// Margin between the connect timeout of an attempt and its write deadline. It allows for the
/// resolution of the timer.
pub(super) const WRITE_MARGIN: Duration = Duration::from_millis(25);

/// Limit of what hyper reads ahead on a connection, and of the head of a response.
const MAX_READ_AHEAD_BYTES: usize = 8 << 10;

/// The hyper client that opens, pools and closes connections to the endpoint.
pub(super) type HttpClient = Client<Connector, RequestBody>;

/// Options of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOptions {
    /// Time until the client stops waiting for the response; sent to the endpoint in a header.
    pub remaining: Duration,
    /// Whether the attempt uses a new connection that is closed afterwards.
    pub dedicated_connection: bool,
    /// The request is not sent if writing it has not begun by this time.
    pub write_by: Option<Instant>,
}

/// Receives the updates and the outcome of an attempt.
pub trait AttemptObserver: Send + 'static {
    /// Called for each update while the attempt is in flight.
    fn updated(&self, update: AttemptUpdate);
    /// Called at most once, when the attempt has ended.
    fn ended(&mut self, outcome: AttemptOutcome, report: Option<LoadReport>);
}

/// HTTP client of one endpoint. Dropping it closes its idle connections.
#[derive(Clone)]
pub struct UpstreamClient {
    pub(super) pooled: HttpClient,
    /// Opens a new connection for each request and keeps none idle.
    pub(super) dedicated: HttpClient,
    pub(super) address: String,
    connect_timeout: Duration,
    pub(super) health_check_timeout: Duration,
    /// From which responses draw their memory.
    pub(super) memory: MemoryBudget,
}

impl UpstreamClient {
    /// Creates a client for the endpoint at `address`. All clients share the permits of `sockets`,
    /// one for each open connection, and draw the memory of responses from one budget.
    pub fn new(
        address: &str,
        pool: PoolSettings,
        sockets: &Arc<Semaphore>,
        memory: &MemoryBudget,
    ) -> UpstreamClient {
        UpstreamClient {
            pooled: http_client(&pool, pool.max_idle_connections, sockets),
            dedicated: http_client(&pool, 0, sockets),
            address: address.to_owned(),
            connect_timeout: pool.connect_timeout,
            health_check_timeout: pool.health_check_timeout,
            memory: memory.clone(),
        }
    }

    /// The address of the endpoint.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Prepares an attempt to run `job`. The returned future sends the request and reads the
    /// response; `observer` receives one outcome unless the future is dropped or the attempt is
    /// aborted first.
    ///
    /// # Errors
    ///
    /// Returns an error if the job cannot be encoded as an HTTP request.
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
            memory: self.memory.clone(),
        };
        Ok((connection, attempt.run(client, request)))
    }

    /// Builds the request of an attempt with an empty body.
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
            request.headers_mut().insert(
                headers::IDEMPOTENCY_KEY,
                HeaderValue::from_bytes(key.as_bytes())?,
            );
        }
        Ok(request)
    }

    /// The write deadline of an attempt that starts now: `limit`, or the end of the connect timeout
    /// and its margin if that is earlier.
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
        // hyper's own retries would bypass the accounting of attempts.
        .retry_canceled_requests(false)
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(pool.idle_timeout)
        .pool_max_idle_per_host(max_idle_connections)
        .http1_max_buf_size(MAX_READ_AHEAD_BYTES)
        .build(Connector {
            connect_timeout: pool.connect_timeout,
            sockets: sockets.clone(),
        })
}

/// An attempt, with the names that identify it in log lines.
struct Attempt<T> {
    request_id: String,
    endpoint: String,
    connection: AttemptConnection,
    observer: T,
    memory: MemoryBudget,
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
        let account = self
            .memory
            .open(Holder::Response, Instant::now().into_std());
        match response::read(&mut body, &self.request_id, &mut self.observer, account).await {
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

    /// Ends the attempt according to a status other than 200. Does not wait for the body, which is
    /// not needed and may never end.
    async fn end_by_status(&mut self, response: Response<Incoming>) {
        let outcome = response::outcome_of_status(&response, self.connection.status_is_proof());
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
