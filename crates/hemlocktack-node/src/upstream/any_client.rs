//! The client for the upstream beside the node, whatever it speaks.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hemlocktack_interface::{Health, Interface};

use super::client::OwnClient;
use super::interface_client::InterfaceClient;
use super::{UpstreamOutcome, UpstreamRequest};

/// Client for one upstream.
pub(crate) enum UpstreamClient {
    Own(OwnClient),
    Interface(InterfaceClient),
}

impl UpstreamClient {
    /// For the product's own interface, or the one given.
    pub(crate) fn new(interface: Option<Interface>) -> reqwest::Result<Self> {
        Ok(match interface {
            Some(interface) => Self::Interface(InterfaceClient::new(interface.upstreams)),
            None => Self::Own(OwnClient::new()?),
        })
    }

    /// Sends the call and reads the answer to its declared end.
    pub(crate) async fn send(&self, send: UpstreamRequest<'_>) -> UpstreamOutcome {
        match self {
            Self::Own(client) => client.send(&send).await,
            Self::Interface(client) => client.send(&send).await,
        }
    }

    /// Body of a small page of the upstream's own; see [`OwnClient::read`].
    pub(crate) async fn read(
        &self,
        url: &str,
        timeout: Duration,
        limit_bytes: usize,
    ) -> Option<Bytes> {
        let Self::Own(client) = self else {
            return None;
        };
        client.read(url, timeout, limit_bytes).await
    }

    /// Asks the upstream who it is; `None` where its interface has no such question.
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
