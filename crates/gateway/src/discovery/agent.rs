//! A client of a discovery agent over HTTP/1.1.

use crate::discovery::json_stream::{JsonStream, StreamItem};
use anyhow::{bail, Context, Result};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::{header, Request, StatusCode};
use hyper_util::rt::TokioIo;
use runtime::{Env, Span, Time};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;

const MS: Span = 1_000_000;
/// An agent sends a heartbeat every 2 s. A watch without a heartbeat, or a call without a response, fails after this
/// time. The gateway is held to a change from 6 s after discovery received it, whether or not the change has arrived:
/// two consecutive failures and a third call have to fit into these 6 s.
pub(crate) const RESPONSE_TIMEOUT: Span = 2_500 * MS;
const CONNECT_TIMEOUT: Span = 1_000 * MS;
/// The first call to an agent is hedged after this long without a response: the cached list may be too old to be used,
/// and takes effect after a second without a newer one.
const HEDGE_DELAY: Span = 300 * MS;

/// The client of one discovery agent.
#[derive(Clone)]
pub(crate) struct AgentClient<E> {
    pub env: E,
    pub address: SocketAddr,
    /// Whether calls are hedged, which applies to the first call to an agent.
    pub hedges_calls: bool,
}

impl<E: Env> AgentClient<E> {
    /// Waits for `delay`, then opens a watch for changes after a version.
    pub async fn open_watch(&self, delay: Span, after: u64) -> Result<ListStream<E>> {
        self.env.sleep(delay).await;
        self.open(&format!("/registry/instances?watch=1&after={after}")).await
    }

    /// Requests the complete list, which is the first document of the response. The end of the response is not awaited:
    /// it may have no length, and its connection may stay open.
    pub async fn complete_list(&self) -> Result<BytesMut> {
        let mut response = self.open("/registry/instances").await?;
        loop {
            if let StreamItem::Document(list) = response.next().await? {
                return Ok(list);
            }
        }
    }

    /// Makes a call. If calls are hedged and there is no response within [`HEDGE_DELAY`], makes a second call and
    /// returns the first result of either.
    pub async fn hedged<T, F: Future<Output = Result<T>> + Send>(&self, call: impl Fn() -> F) -> Result<T> {
        let mut first = pin!(call());
        if !self.hedges_calls {
            return first.await;
        }
        if let Ok(response) = self.env.timeout(HEDGE_DELAY, &mut first).await {
            return response;
        }
        tokio::select! {
            response = first => response,
            response = call() => response,
        }
    }

    async fn open(&self, path: &str) -> Result<ListStream<E>> {
        let last_alive = self.env.now();
        let response = self.env.timeout(RESPONSE_TIMEOUT, self.request(path)).await;
        let body = response.context("no answer")??;
        Ok(ListStream { env: self.env.clone(), body, documents: JsonStream::default(), last_alive })
    }

    async fn request(&self, path: &str) -> Result<Incoming> {
        let stream = self.env.timeout(CONNECT_TIMEOUT, self.env.connect(self.address)).await;
        let stream = stream.context("no connection")??;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        // The task ends when the body is dropped, or with the sender if there is no body.
        self.env.spawn(async { drop(connection.await) });
        let host = self.address.to_string();
        let request = Request::get(path).header(header::HOST, host).body(Empty::<Bytes>::new())?;
        let response = sender.send_request(request).await?;
        if response.status() != StatusCode::OK {
            bail!("status {}", response.status());
        }
        Ok(response.into_body())
    }
}

/// The body of a response: a stream of documents.
pub(crate) struct ListStream<E> {
    env: E,
    body: Incoming,
    documents: JsonStream,
    /// When the agent last sent a complete document or a heartbeat. Bytes of an incomplete document do not prove that
    /// the agent is alive, since the rest may never arrive.
    last_alive: Time,
}

impl<E: Env> ListStream<E> {
    /// Waits for the next document or heartbeat.
    ///
    /// # Errors
    /// The response has ended, or brought no document or heartbeat for [`RESPONSE_TIMEOUT`].
    pub async fn next(&mut self) -> Result<StreamItem> {
        loop {
            if let Some(item) = self.documents.next()? {
                self.last_alive = self.env.now();
                return Ok(item);
            }
            let inactive_at = self.last_alive + RESPONSE_TIMEOUT;
            let frame = self
                .env
                .timeout_at(inactive_at, self.body.frame())
                .await
                .context("no document or heartbeat")?;
            let frame = frame.context("the answer ended")??;
            if let Ok(data) = frame.into_data() {
                self.documents.push(&data);
            }
        }
    }
}
