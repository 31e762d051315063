//! Configurations as the operator writes them.

use crate::json::Json;

pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub attempts: u32,
}

/// Returns a configuration with these routes, services and, for one tenant, these keys.
pub fn configuration(version: u64, routes: &[Route], services: &[&str], keys: &[&str]) -> Json {
    let mut resources = Vec::new();
    for route in routes {
        resources.push(format!(
            r#"{{"resource_kind":"routes","metadata":{{"name":"{}"}},"specification":{{"host":"flats.example","path_prefix":"{}","kind":"{}","timeout":"5000ms","target_latency":"1500ms","priority":0,"service":"{}","attempts":{}}}}}"#,
            route.name, route.prefix, route.kind, route.service, route.attempts
        ));
    }
    for service in services {
        resources.push(format!(
            r#"{{"resource_kind":"services","metadata":{{"name":"{service}"}},"specification":{{"health_check_path":"/health","connection_limit":64}}}}"#
        ));
    }
    resources.push(
        r#"{"resource_kind":"limits","metadata":{"name":"limits"},"specification":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"5s","idle_timeout":"15s"}}"#
            .to_owned(),
    );
    if !keys.is_empty() {
        let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        resources.push(format!(
            r#"{{"resource_kind":"tenants","metadata":{{"name":"agency"}},"specification":{{"api_keys":[{}]}}}}"#,
            keys.join(",")
        ));
    }
    let text = format!(
        r#"{{"version":{version},"resources":[{}]}}"#,
        resources.join(",")
    );
    Json::parse(&text).expect("the configuration is no JSON")
}
