//! Methods of the schema's `Operators` service, with the messages of each.

use std::marker::PhantomData;

use hemlocktack_protocol::{
    ApplyConfigurationRequest, ApplyConfigurationResponse, DrainNodeRequest, DrainNodeResponse,
    ExplainCallRequest, ExplainCallResponse, GetStatusRequest, GetStatusResponse,
    ListConfigurationHistoryRequest, ListConfigurationHistoryResponse, ListNodesRequest,
    ListNodesResponse, ListUpstreamsRequest, ListUpstreamsResponse, ShowConfigurationRequest,
    ShowConfigurationResponse,
};

/// A method's name with its request and response types.
pub(crate) struct Method<Request, Response> {
    pub(crate) name: &'static str,
    messages: PhantomData<(Request, Response)>,
}

const fn method<Request, Response>(name: &'static str) -> Method<Request, Response> {
    Method {
        name,
        messages: PhantomData,
    }
}

pub(crate) const APPLY_CONFIGURATION: Method<
    ApplyConfigurationRequest,
    ApplyConfigurationResponse,
> = method("ApplyConfiguration");
pub(crate) const SHOW_CONFIGURATION: Method<ShowConfigurationRequest, ShowConfigurationResponse> =
    method("ShowConfiguration");
pub(crate) const LIST_CONFIGURATION_HISTORY: Method<
    ListConfigurationHistoryRequest,
    ListConfigurationHistoryResponse,
> = method("ListConfigurationHistory");
pub(crate) const LIST_UPSTREAMS: Method<ListUpstreamsRequest, ListUpstreamsResponse> =
    method("ListUpstreams");
pub(crate) const LIST_NODES: Method<ListNodesRequest, ListNodesResponse> = method("ListNodes");
pub(crate) const GET_STATUS: Method<GetStatusRequest, GetStatusResponse> = method("GetStatus");
pub(crate) const EXPLAIN_CALL: Method<ExplainCallRequest, ExplainCallResponse> =
    method("ExplainCall");
pub(crate) const DRAIN_NODE: Method<DrainNodeRequest, DrainNodeResponse> = method("DrainNode");
