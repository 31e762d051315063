//! Client for the node's upstream, independent of its interface.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hemlocktack_interface::{Health, Interface};

use super::client::NativeClient;
use super::interface_client::InterfaceClient;
use super::{UpstreamRequest, UpstreamResponse};

/// Client for one upstream.
pub(crate) enum UpstreamClient {
    Native(NativeClient),
    Interface(InterfaceClient),
}

impl UpstreamClient {
    /// Creates a client for the given interface, or for the native one.
    pub(crate) fn new(interface: Option<Interface>) -> reqwest::Result<Self> {
        Ok(match interface {
            Some(interface) => Self::Interface(InterfaceClient::new(interface.upstreams)),
            None => Self::Native(NativeClient::new()?),
        })
    }

    /// Sends the call and reads the complete answer.
    pub(crate) async fn send(&self, send: UpstreamRequest<'_>) -> UpstreamResponse {
        match self {
            Self::Native(client) => client.send(&send).await,
            Self::Interface(client) => client.send(&send).await,
        }
    }

    /// Reads a small resource of the upstream; see [`NativeClient::read`].
    pub(crate) async fn read(
        &self,
        url: &str,
        timeout: Duration,
        limit_bytes: usize,
    ) -> Option<Bytes> {
        let Self::Native(client) = self else {
            return None;
        };
        client.read(url, timeout, limit_bytes).await
    }

    /// Queries the upstream's health; `None` if its interface has no health check.
    pub(crate) async fn ask_health(
        &self,
        address: SocketAddr,
        path: &str,
        deadline: Instant,
    ) -> Option<Health> {
        let Self::Interface(client) = self else {
            return None;
        };
        client.ask_health(address, path, deadline).await
    }
}
