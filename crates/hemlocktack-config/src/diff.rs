//! Differences between two documents, as changes that people can review.

mod accounts;

use std::fmt::Display;

use derive_more::Display;
use strum::IntoStaticStr;

use crate::{CallerKind, Class, Document, Limits, RequestRule, Service};

/// One difference between two documents.
#[derive(Clone, Debug, Display, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Change {
    /// A class that the old document did not have.
    #[display("class {name} added at rank {rank}")]
    ClassAdded {
        /// Its name.
        name: String,
        /// Its position in the new list.
        rank: usize,
    },
    /// A class that the new document does not have.
    #[display("class {name} removed")]
    ClassRemoved {
        /// Its name.
        name: String,
    },
    /// A class that is shed earlier or later than before.
    #[display("class {name}: rank {from} -> {to}")]
    ClassMoved {
        /// Its name.
        name: String,
        /// Its position in the old list.
        from: usize,
        /// Its position in the new list.
        to: usize,
    },
    /// A kind of caller that the old document did not have.
    #[display("caller kind {name} added")]
    CallerKindAdded {
        /// Its name.
        name: String,
    },
    /// A kind of caller that the new document does not have.
    #[display("caller kind {name} removed")]
    CallerKindRemoved {
        /// Its name.
        name: String,
    },
    /// Callers that name no kind now count as a different kind.
    #[display("default caller kind: {from} -> {to}")]
    DefaultCallerKindChanged {
        /// First kind of the old document.
        from: String,
        /// First kind of the new document.
        to: String,
    },
    /// A service that the old document did not have.
    #[display("service {name} added")]
    ServiceAdded {
        /// Its name.
        name: String,
    },
    /// A service that the new document does not have: calls to it are refused.
    #[display("service {name} removed")]
    ServiceRemoved {
        /// Its name.
        name: String,
    },
    /// A request rule that the old document did not have.
    #[display("service {service}: rule {method} {path_prefix} added")]
    RuleAdded {
        /// Service of the rule.
        service: String,
        /// Method of the rule.
        method: String,
        /// Path prefix of the rule.
        path_prefix: String,
    },
    /// A request rule that the new document does not have.
    #[display("service {service}: rule {method} {path_prefix} removed")]
    RuleRemoved {
        /// Service of the rule.
        service: String,
        /// Method of the rule.
        method: String,
        /// Path prefix of the rule.
        path_prefix: String,
    },
    /// The rules that both documents contain are matched in another order.
    #[display("service {service}: rules reordered")]
    RulesReordered {
        /// Service of the rules.
        service: String,
    },
    /// A client account that the old document did not have.
    #[display("client account {name} added")]
    ClientAccountAdded {
        /// Its name.
        name: String,
    },
    /// A client account that the new document does not have: its requests are refused.
    #[display("client account {name} removed")]
    ClientAccountRemoved {
        /// Its name.
        name: String,
    },
    /// A key that an account did not have before.
    #[display("client account {account}: key {digest} added")]
    KeyAdded {
        /// Name of the account.
        account: String,
        /// Digest of the key.
        digest: String,
    },
    /// A key that is no longer accepted.
    #[display("client account {account}: key {digest} removed")]
    KeyRemoved {
        /// Name of the account.
        account: String,
        /// Digest of the key.
        digest: String,
    },
    /// A field with a different value.
    #[display("{place}: {from} -> {to}")]
    ValueChanged {
        /// Path of the field: the names of what contains it, and its own name.
        place: String,
        /// Old value.
        from: String,
        /// New value.
        to: String,
    },
}

/// Returns all differences, in document order.
pub fn diff(old: &Document, new: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    diff_limits(&old.limits, &new.limits, &mut changes);
    diff_classes(&old.classes, &new.classes, &mut changes);
    diff_caller_kinds(&old.caller_kinds, &new.caller_kinds, &mut changes);
    diff_services(&old.services, &new.services, &mut changes);
    accounts::diff(&old.client_accounts, &new.client_accounts, &mut changes);
    changes
}

fn push_if_changed<T: Display + PartialEq>(
    place: &str,
    field: &str,
    from: T,
    to: T,
    out: &mut Vec<Change>,
) {
    if from == to {
        return;
    }
    out.push(Change::ValueChanged {
        place: format!("{place}.{field}"),
        from: from.to_string(),
        to: to.to_string(),
    });
}

fn diff_limits(old: &Limits, new: &Limits, out: &mut Vec<Change>) {
    const PLACE: &str = "limits";
    let pairs = [
        ("drain_limit_ms", old.drain_limit_ms, new.drain_limit_ms),
        (
            "kept_answers_bytes",
            old.kept_answers_bytes,
            new.kept_answers_bytes,
        ),
        (
            "trace_sample_per_million",
            old.trace_sample_per_million.into(),
            new.trace_sample_per_million.into(),
        ),
        (
            "retry_share_percent",
            old.retry_share_percent.into(),
            new.retry_share_percent.into(),
        ),
        (
            "quarantine_crashes",
            old.quarantine_crashes.into(),
            new.quarantine_crashes.into(),
        ),
        ("quarantine_ms", old.quarantine_ms, new.quarantine_ms),
    ];
    for (field, from, to) in pairs {
        push_if_changed(PLACE, field, from, to, out);
    }
}

fn diff_classes(old: &[Class], new: &[Class], out: &mut Vec<Change>) {
    let rank = |list: &[Class], name: &str| list.iter().position(|class| class.name == name);
    for class in old {
        if rank(new, &class.name).is_none() {
            let name = class.name.clone();
            out.push(Change::ClassRemoved { name });
        }
    }
    for (to, class) in new.iter().enumerate() {
        let name = class.name.clone();
        match rank(old, &class.name) {
            None => out.push(Change::ClassAdded { name, rank: to }),
            Some(from) if from != to => out.push(Change::ClassMoved { name, from, to }),
            Some(_) => {}
        }
    }
}

fn diff_caller_kinds(old: &[CallerKind], new: &[CallerKind], out: &mut Vec<Change>) {
    for kind in old {
        if !new.iter().any(|other| other.name == kind.name) {
            let name = kind.name.clone();
            out.push(Change::CallerKindRemoved { name });
        }
    }
    for kind in new {
        let Some(before) = old.iter().find(|other| other.name == kind.name) else {
            let name = kind.name.clone();
            out.push(Change::CallerKindAdded { name });
            continue;
        };
        let place = format!("caller kind {}", kind.name);
        push_if_changed(
            &place,
            "patience_ms",
            before.patience_ms,
            kind.patience_ms,
            out,
        );
        push_if_changed(
            &place,
            "retry_allowance",
            before.retry_allowance,
            kind.retry_allowance,
            out,
        );
    }
    if let (Some(from), Some(to)) = (old.first(), new.first())
        && from.name != to.name
    {
        out.push(Change::DefaultCallerKindChanged {
            from: from.name.clone(),
            to: to.name.clone(),
        });
    }
}

fn diff_services(old: &[Service], new: &[Service], out: &mut Vec<Change>) {
    for service in old {
        if !new.iter().any(|other| other.name == service.name) {
            let name = service.name.clone();
            out.push(Change::ServiceRemoved { name });
        }
    }
    for service in new {
        match old.iter().find(|other| other.name == service.name) {
            Some(before) => diff_service(before, service, out),
            None => {
                let name = service.name.clone();
                out.push(Change::ServiceAdded { name });
            }
        }
    }
}

fn diff_service(old: &Service, new: &Service, out: &mut Vec<Change>) {
    let place = format!("service {}", new.name);
    let pairs = [
        (
            "body_limit_bytes",
            old.body_limit_bytes,
            new.body_limit_bytes,
        ),
        (
            "answer_limit_bytes",
            old.answer_limit_bytes,
            new.answer_limit_bytes,
        ),
        (
            "queue_limit_calls",
            old.queue_limit_calls,
            new.queue_limit_calls,
        ),
    ];
    for (field, from, to) in pairs {
        push_if_changed(&place, field, from, to, out);
    }
    diff_rules(old, new, out);
}

fn diff_rules(old: &Service, new: &Service, out: &mut Vec<Change>) {
    let service = &new.name;
    for rule in &old.requests {
        if same_rule(&new.requests, rule).is_none() {
            out.push(Change::RuleRemoved {
                service: service.clone(),
                method: rule.method.clone(),
                path_prefix: rule.path_prefix.clone(),
            });
        }
    }
    for rule in &new.requests {
        let Some(before) = same_rule(&old.requests, rule) else {
            out.push(Change::RuleAdded {
                service: service.clone(),
                method: rule.method.clone(),
                path_prefix: rule.path_prefix.clone(),
            });
            continue;
        };
        let place = format!("service {service}: {} {}", rule.method, rule.path_prefix);
        push_if_changed(&place, "class", &before.class, &rule.class, out);
        push_if_changed(
            &place,
            "idempotent",
            before.idempotent,
            rule.idempotent,
            out,
        );
    }
    let kept_before = old
        .requests
        .iter()
        .filter(|rule| same_rule(&new.requests, rule).is_some());
    let kept_after = new
        .requests
        .iter()
        .filter(|rule| same_rule(&old.requests, rule).is_some());
    if !kept_before.map(rule_key).eq(kept_after.map(rule_key)) {
        let service = service.clone();
        out.push(Change::RulesReordered { service });
    }
}

fn rule_key(rule: &RequestRule) -> [&str; 2] {
    [&rule.method, &rule.path_prefix]
}

fn same_rule<'a>(rules: &'a [RequestRule], rule: &RequestRule) -> Option<&'a RequestRule> {
    rules.iter().find(|other| rule_key(other) == rule_key(rule))
}
