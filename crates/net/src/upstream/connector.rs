//! Opens connections to one endpoint, subject to a timeout and a limit of open sockets.

use super::connection::UpstreamConnection;
use hyper::Uri;
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;
use tower_service::Service;

const DEFAULT_HTTP_PORT: u16 = 80;

/// The connector that hyper calls for a new connection.
#[derive(Clone)]
pub(super) struct Connector {
    /// Time to establish a connection, including the wait for a permit.
    pub(super) connect_timeout: Duration,
    /// One permit for each socket that may be open.
    pub(super) sockets: Arc<Semaphore>,
}

impl Service<Uri> for Connector {
    type Response = TokioIo<UpstreamConnection>;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<Self::Response>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connect_timeout = self.connect_timeout;
        let sockets = self.sockets.clone();
        Box::pin(async move {
            let (permit, stream) = timeout(connect_timeout, open(uri, sockets)).await??;
            stream.set_nodelay(true)?;
            Ok(TokioIo::new(UpstreamConnection::new(stream, permit)))
        })
    }
}

async fn open(uri: Uri, sockets: Arc<Semaphore>) -> io::Result<(OwnedSemaphorePermit, TcpStream)> {
    // If no permit is free, an idle connection is being closed and will return its permit.
    let permit = sockets.acquire_owned().await.map_err(io::Error::other)?;
    let host = uri.host().unwrap_or_default().trim_matches(['[', ']']);
    let port = uri.port_u16().unwrap_or(DEFAULT_HTTP_PORT);
    let stream = TcpStream::connect((host, port)).await?;
    Ok((permit, stream))
}
