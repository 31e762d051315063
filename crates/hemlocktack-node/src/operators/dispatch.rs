//! Dispatches a request to the function of its method.

use std::sync::Arc;

use hemlocktack_protocol::OperatorErrorCode;
use prost::Message;
use serde::Serialize;
use serde::de::DeserializeOwned;
use strum::{EnumString, VariantNames};

use super::body::Encoding;
use super::{Failure, Result, commands, queries};
use crate::node::Node;

/// Methods of the schema's `Operators` service.
#[derive(Clone, Copy, EnumString, VariantNames)]
enum Method {
    CheckConfiguration,
    ShowConfiguration,
    ListConfigurationHistory,
    ListUpstreams,
    ListNodes,
    GetStatus,
    ExplainCall,
    ApplyConfiguration,
    DrainNode,
}

pub(super) async fn dispatch(
    node: &Arc<Node>,
    method: &str,
    encoding: Encoding,
    body: &[u8],
) -> Result<Vec<u8>> {
    let Ok(method) = method.parse() else {
        let known = Method::VARIANTS.join(", ");
        let message = format!("unknown method {method:?}; known methods: {known}");
        return Err(Failure::new(OperatorErrorCode::UnknownMethod, message));
    };
    let encoded = EncodedRequest { encoding, body };
    match method {
        Method::CheckConfiguration => encoded.answer(queries::check_configuration::run),
        Method::ShowConfiguration => {
            let request = encoded.decode()?;
            encoded.encode(&queries::show_configuration::run(node, request).await?)
        }
        Method::ListConfigurationHistory => {
            let request = encoded.decode()?;
            encoded.encode(&queries::list_configuration_history::run(node, request).await?)
        }
        Method::ListUpstreams => {
            encoded.answer(|request| queries::list_upstreams::run(node, request))
        }
        Method::ListNodes => encoded.answer(|request| queries::list_nodes::run(node, request)),
        Method::GetStatus => {
            let request = encoded.decode()?;
            encoded.encode(&queries::get_status::run(node, request).await)
        }
        Method::ExplainCall => {
            let request = encoded.decode()?;
            encoded.encode(&queries::explain_call::run(node, request).await?)
        }
        Method::ApplyConfiguration => {
            let request = encoded.decode()?;
            encoded.encode(&commands::apply_configuration::run(node, request).await?)
        }
        Method::DrainNode => {
            let request = encoded.decode()?;
            encoded.encode(&commands::drain_node::run(node, request).await?)
        }
    }
}

/// Encoding and body of the request that is being handled.
struct EncodedRequest<'a> {
    encoding: Encoding,
    body: &'a [u8],
}

impl EncodedRequest<'_> {
    fn decode<T: Message + Default + DeserializeOwned>(&self) -> Result<T> {
        self.encoding.decode(self.body)
    }

    fn encode<T: Message + Serialize>(&self, answer: &T) -> Result<Vec<u8>> {
        Ok(self.encoding.encode(answer))
    }

    fn answer<Request, Answer>(&self, run: impl FnOnce(Request) -> Answer) -> Result<Vec<u8>>
    where
        Request: Message + Default + DeserializeOwned,
        Answer: Message + Serialize,
    {
        let answer = run(self.decode()?);
        self.encode(&answer)
    }
}
